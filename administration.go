package wigeonspindle

import (
	"context"
	"time"
)

// Administration is what the operators' API needs from a host.
type Administration interface {
	// Config returns the configuration in force, or nil before the first one arrived.
	Config() *Config
	// Status returns the host's own view of itself and its cell.
	Status() Status
	// Events returns the events of the time line that match, the oldest first.
	Events(filter EventFilter) []Event
	// Propose validates a change and, unless dry, writes it. The summary lists the
	// differences from the configuration in force. Its error is a Refusal.
	Propose(ctx context.Context, change ConfigChange, dry bool) (HistoryEntry, error)
	// History returns the latest accepted changes, the newest first.
	History(ctx context.Context) ([]HistoryEntry, error)
	// SetDomain takes a failure domain out of service or brings it back. While the store is
	// unavailable the change is kept as an override on all hosts; soft reports that.
	SetDomain(ctx context.Context, domain string, out bool, author string) (soft bool, err error)
	// Drain starts a planned stop of the host.
	Drain()
}

// Status is the state of a host for operators.
type Status struct {
	Host            Host           `json:"host"`
	Revision        Revision       `json:"revision"`
	Leaving         bool           `json:"leaving"`
	Ready           bool           `json:"ready"`
	NotReadyReason  string         `json:"reason,omitempty"` // NotReadyReason is empty while the host is ready.
	Members         []Member       `json:"members"`
	Targets         []TargetStatus `json:"targets"`
	Roster          Roster         `json:"roster"`
	Overrides       []Override     `json:"overrides,omitempty"`
	Rings           []RingStatus   `json:"rings"`
	StoreAnsweredAt time.Time      `json:"storeseen"` // StoreAnsweredAt is when the store last answered.
	// StoreCalls is the number of calls that the host made to the store.
	StoreCalls uint64 `json:"storecalls"`
	Queries    int    `json:"queries"` // Queries is the number of queries in progress.
}

// TargetStatus is the state of a target that the host owns.
type TargetStatus struct {
	Target   string    `json:"target"`
	Domain   string    `json:"domain"`
	LeaseEnd time.Time `json:"until"` // LeaseEnd is when the lease expires.
	Load     Load      `json:"load"`
}

// RingStatus is the fill of one ring.
type RingStatus struct {
	Ring     string `json:"ring"`
	Waiting  int    `json:"waiting"`
	Capacity int    `json:"capacity"`
}

// EventFilter selects events of the time line. Empty fields match everything.
type EventFilter struct {
	Trace  string
	Target string
	Since  time.Time
	Until  time.Time
}

// SendKind says why an attempt was sent.
type SendKind string

// Kinds of sends.
const (
	SendFirst  SendKind = "first"
	SendRetry  SendKind = "retry"
	SendHedge  SendKind = "hedge"
	SendCanary SendKind = "canary"
)

// Meter receives the measurements of a host. Its methods must not block.
type Meter interface {
	// ObserveAnswer counts an answer and its latency.
	ObserveAnswer(index string, verdict Verdict, coverage Coverage, took time.Duration)
	// CountRefusal counts a refusal towards a caller.
	CountRefusal(index string, code Code)
	// CountSend counts an attempt handed to an owner.
	CountSend(index string, kind SendKind)
	// CountDrop counts an element that a full ring refused.
	CountDrop(ring string)
}
