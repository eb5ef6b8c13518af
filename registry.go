package wigeonspindle

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrCompacted reports that a registry no longer holds the requested changes.
var ErrCompacted = errors.New("the registry has dropped these changes")

// ErrRestored reports that a registry has come back from a copy, which may be older than what it had
// acknowledged. Revisions from before mean something else now.
var ErrRestored = errors.New("the registry has come back from a copy")

// ErrLeaseExpired reports that a lease has ended.
var ErrLeaseExpired = errors.New("the lease has ended")

// ErrStale reports that a host that passes on the state of the registry has had no answer from it for too
// long.
var ErrStale = errors.New("the host's state of the registry is too old")

// ErrUnsettled reports that a host has answers from the registry again, but still holds entries from before
// an outage that the registry has not confirmed.
var ErrUnsettled = errors.New("the host's state of the registry is not settled after an outage")

// RegistryReader reads the entries of the registry.
type RegistryReader interface {
	// List returns all entries.
	List(ctx context.Context) (RegistryBatch, error)
	// Follow returns the changes after a revision, waiting for the first one at most wait.
	// It returns ErrCompacted when the changes are no longer held, and ErrRestored when the revision is
	// one of an earlier era. It is called by one goroutine, and so is List.
	Follow(ctx context.Context, after uint64, wait time.Duration) (RegistryBatch, error)
}

// Registry is the platform's record of the configuration, the replicas and the hosts. Its
// methods return an error when no answer arrives; the change may then still have been made.
type Registry interface {
	RegistryReader
	// Register enters a host under a new lease and returns the lease. The entry is removed when
	// the lease ends.
	Register(ctx context.Context, peer Peer, lease time.Duration) (uint64, error)
	// RenewLease extends a lease. It returns ErrLeaseExpired when the lease has ended.
	RenewLease(ctx context.Context, lease uint64) error
	// ReportSuspicion enters a suspicion, or removes it when it is cleared. Expired ones stay until
	// they are removed. The claim of a trial is entered only if there is none of its name.
	ReportSuspicion(ctx context.Context, suspicion Suspicion) error
	// RevokeLease ends a lease and removes the entries made under it.
	RevokeLease(ctx context.Context, lease uint64) error
}

// Dialect translates between calls and the messages of replicas.
type Dialect interface {
	// RequestHeader appends the header of a request that states the time left to answer. The body of
	// the call follows it.
	RequestHeader(buffer []byte, call *Call, replica *Replica, left time.Duration) []byte
	// Response interprets a complete response.
	Response(response *http.Response, body []byte) *Response
}

// Gateway serves calls.
type Gateway interface {
	// Admit decides from its header whether a call is accepted, before its body is read. It returns
	// when the call ends in any case, or a reply that refuses it.
	Admit(call *Call) (deadline time.Time, refusal *CallReply)
	// Handle serves a call and returns its answer. When ctx ends first, the call is
	// withdrawn and the answer is a refusal.
	Handle(ctx context.Context, call *Call) CallReply
}

// Directory tells callers where to connect.
type Directory interface {
	// Addresses returns the addresses of the callers' listeners of the hosts, in the order in
	// which a caller in the failure domain should try them.
	Addresses(domain string) []string
	// Ready reports whether the host serves calls and is not stopping.
	Ready() bool
}
