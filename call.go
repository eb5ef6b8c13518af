package wigeonspindle

import (
	"net/http"
	"time"
)

// Call is one request of a caller for a route.
type Call struct {
	ID         string // ID is chosen by the caller, who never repeats it.
	Caller     string // Caller is the IP address of the caller.
	Method     string
	Authority  string
	Path       string // Path is the path without the query.
	RequestURI string // RequestURI is the path and query, byte for byte as received.
	Header     http.Header
	Body       []byte
	Arrived    time.Time
	// CallerTimeout is the time-out that the caller states; 0 when it states none.
	CallerTimeout time.Duration
	// RoundTrip is the time of a round trip between the caller and the host; 0 when unknown.
	RoundTrip time.Duration
	// ConnectTime is how long the caller waited for the connection of the call to open; 0 when
	// the call arrived on an open connection.
	ConnectTime time.Duration
}

// Response is a replica's response to a call, as the dialect interprets it.
type Response struct {
	Status    int
	Header    http.Header // Header holds the fields to pass on to the caller.
	Body      []byte
	Signature string // Signature is the replica's signature of the answer.
	CallID    string // CallID is the ID of the answered call as the replica repeats it.
	// Refused reports that the replica did not run the call.
	Refused bool
	// WrongReplica reports that another replica has the address.
	WrongReplica bool
	Load         TargetLoad
	Limit        RequestLimit
	// Leaving reports that the replica stops soon and wants no new work.
	Leaving bool
	// RetryAfter is how long the replica wants no request from this host; 0 when it has not said so.
	RetryAfter time.Duration
	// InvalidFields are the fields with values that the dialect ignores.
	InvalidFields []InvalidField
}

// InvalidField is a field of a message with a value outside the accepted range.
type InvalidField struct {
	Name     string
	Value    string
	Accepted string // Accepted describes the accepted values.
}

// Success reports whether the replica answered the call.
func (r *Response) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.Refused
}

// Failed reports whether the replica may have run the call without success. Any answer that is no success and
// does not deny the run counts, also an unsigned one.
func (r *Response) Failed() bool { return !r.Success() && !r.Refused }

// TargetLoad is the load that a replica reports. Its fields are unset unless Known.
type TargetLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// RequestLimit is the rate of requests that a replica accepts. It holds until the replica states
// another one, or none in a response.
type RequestLimit struct {
	Known     bool
	PerSecond float64 // PerSecond is the number of requests a second from all hosts together.
}

// Exchange is the result of one send to a replica.
type Exchange struct {
	Verdict  Verdict
	Code     Code      // Code is empty when the replica answered or refused.
	Response *Response // Response is nil when no complete response arrived.
	Sent     bool      // Sent reports that bytes of the request may have reached the replica.
	// Reachability is what the dial of the connection has shown if Code is CodeUnreachable.
	Reachability Reachability
	Took         time.Duration
}

// CallReply is the final answer to a call.
type CallReply struct {
	Response *Response       // Response is a replica's answer to pass on unchanged, or nil.
	Merged   *MergedResponse // Merged is the answer of several shards, or nil.
	Refusal  *Refusal        // Refusal is set when neither of the others is.
	// RetryAfter is how long the caller should wait before it retries; 0 when the host gives
	// no advice.
	RetryAfter time.Duration
	// Release gives back the memory that the host keeps for the body of Response. The caller of Gateway.Handle calls it, if
	// set, when it needs the body no longer or accounts for it otherwise.
	Release func()
}

// Size returns the size of the body to pass on, in bytes.
func (r *CallReply) Size() int {
	switch {
	case r.Response != nil:
		return len(r.Response.Body)
	case r.Merged != nil:
		return len(r.Merged.Body)
	}
	return 0
}

// MergedResponse is the answer merged from the parts of several shards.
type MergedResponse struct {
	Signatures    []string // Signatures are those of the parts that arrived.
	MissingShards int      // MissingShards is the number of shards without a part.
	Body          []byte
}
