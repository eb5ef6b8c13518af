package wigeonspindle

import "time"

// Envelope is one message between hosts. Exactly one of the fields after Stamp is set.
type Envelope struct {
	From            string // From is the name of the sending host.
	Stamp           Timestamp
	Heartbeat       *Heartbeat
	Attempts        []Attempt
	Cancels         []Cancel
	Outcomes        []Outcome
	Forward         *Forward
	Forwarded       *Forwarded
	Claim           *Claim
	Grant           *Grant
	Release         *Release
	Notice          *Notice
	Acknowledgement *Acknowledgement
	Pull            *Pull
	Delta           *Delta
	Suspicion       *Suspicion
	Override        *Override
}

// Forward hands a once request to the host incarnation that its identity names.
type Forward struct {
	Counter uint64
	Query   Query
}

// Forwarded is the answer to a forwarded request.
type Forwarded struct {
	Counter uint64
	Answer  Answer
}

// Pull asks for the configuration changes after a revision.
type Pull struct {
	After Revision
}

// ReplyFunc sends an answer on the link on which a message arrived. It reports false when the
// link is closed or its ring is full.
type ReplyFunc func(Envelope) bool

// Link sends messages to other hosts.
type Link interface {
	// Send queues a message to a host. It reports false when nothing was or will be sent,
	// because no link is up or its ring is full.
	Send(host string, message Envelope) bool
	// Connect keeps a link to each of the hosts and closes the links to all others. A host
	// that is named more than once has several addresses.
	Connect(hosts []Host)
}

// LinkHandler receives what happens on the links. Its methods must not block.
type LinkHandler interface {
	// Received is called for each message in the order of its link.
	Received(message Envelope, reply ReplyFunc)
	// Unsent is called for a queued message that was not written before its link broke.
	Unsent(host string, message Envelope)
	// Up is called when a link to a host is ready.
	Up(host string)
	// Down is called when a link broke; answers to messages sent on it are lost.
	Down(host string)
}

// Timing values that several layers share.
const (
	// HeartbeatPeriod is the time between heartbeats on a link.
	HeartbeatPeriod = 500 * time.Millisecond
	// LinkSilenceTimeout is the silence after which a link is broken: three missed heartbeats.
	LinkSilenceTimeout = 3 * HeartbeatPeriod
	// AddressTTL is how long callers may cache an address answer.
	AddressTTL = 5 * time.Second
	// DrainDelay is how long a stopping host keeps its listener. It exceeds AddressTTL so
	// that a caller's list that still names the host has expired.
	DrainDelay = 7 * time.Second
	// HopMargin is subtracted from the remaining time at each hop.
	HopMargin = 2 * time.Millisecond
)
