package wigeonspindle

import (
	"net/http"
	"time"
)

// Call is one request of a caller for a route.
type Call struct {
	ID        string // ID is chosen by the caller, who never repeats it.
	Caller    string // Caller is the IP address of the caller.
	Method    string
	Authority string
	Path      string // Path is the path without the query.
	Location  string // Location is the path and query, byte for byte as received.
	Header    http.Header
	Body      []byte
	Arrived   time.Time
	// Patience is how long the caller waits; 0 when it does not say.
	Patience time.Duration
	// Transit is the round trip between the caller and the host; 0 when it is not known.
	Transit time.Duration
	// Opening is how long the caller waited for the connection of the call to open; 0 when the
	// call came on a connection that was open.
	Opening time.Duration
}

// Response is what a replica sent for a call, as the dialect understands it.
type Response struct {
	Status int
	Header http.Header // Header holds the fields to pass on to the caller.
	Body   []byte
	Seal   string // Seal is the replica's signature of the answer.
	CallID string // CallID is the ID of the answered call as the replica repeats it.
	// Refused reports that the replica did not run the call.
	Refused bool
	// Stranger reports that another replica has the address.
	Stranger bool
	Load     TargetLoad
}

// Success reports whether the replica answered the call.
func (r *Response) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Seal != "" && !r.Refused
}

// TargetLoad is a replica's own statement about its load.
type TargetLoad struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Exchange is the result of one send to a replica.
type Exchange struct {
	Verdict  Verdict
	Code     Code      // Code is empty when the replica answered or refused.
	Response *Response // Response is nil when no whole response arrived.
	Sent     bool      // Sent reports that bytes of the request may have reached the replica.
	Took     time.Duration
}

// CallReply is the final answer to a call.
type CallReply struct {
	Response *Response // Response is a replica's answer to pass on unchanged, or nil.
	Merged   *Merged   // Merged is the answer of several shards, or nil.
	Refusal  *Refusal  // Refusal is set when neither of the others is.
	// RetryAfter is when the caller should come again; 0 when the host gives no advice.
	RetryAfter time.Duration
}

// Merged is the answer that the parts of several shards make up.
type Merged struct {
	Seals   []string // Seals are the signatures of the parts that are in.
	Missing int      // Missing is the number of shards that are not in.
	Body    []byte
}
