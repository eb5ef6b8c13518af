package wigeonspindle

import "time"

// Timestamp is a hybrid logical time: it orders an effect after its cause on all hosts.
type Timestamp struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
}

// Less reports whether s is before other.
func (s Timestamp) Less(other Timestamp) bool {
	if !s.Wall.Equal(other.Wall) {
		return s.Wall.Before(other.Wall)
	}
	return s.Logical < other.Logical
}

// EventKind names an event of the time line.
type EventKind string

// Kinds of events.
const (
	EventAdmitted   EventKind = "admitted"
	EventRefused    EventKind = "refused"
	EventSent       EventKind = "sent"
	EventHedged     EventKind = "hedged"
	EventRetried    EventKind = "retried"
	EventOutcome    EventKind = "outcome"
	EventDropped    EventKind = "dropped"
	EventRestarted  EventKind = "restarted"
	EventAnswered   EventKind = "answered"
	EventOwned      EventKind = "owned"
	EventReleased   EventKind = "released"
	EventLapsed     EventKind = "lapsed"
	EventRamped     EventKind = "ramped"
	EventCooled     EventKind = "cooled"
	EventConfigured EventKind = "configured"
	EventMember     EventKind = "member"
	EventSeated     EventKind = "seated"
	EventDomain     EventKind = "domain"
	EventQuarantine EventKind = "quarantine"
	EventDrain      EventKind = "drain"
	EventLink       EventKind = "link"
	EventStore      EventKind = "store"
)

// Event is one entry of the time line.
type Event struct {
	Stamp    Timestamp `json:"stamp"`
	Kind     EventKind `json:"kind"`
	Host     string    `json:"host"`
	Domain   string    `json:"domain,omitempty"`
	Trace    string    `json:"trace,omitempty"`
	Shard    string    `json:"shard,omitempty"`
	Target   string    `json:"target,omitempty"`
	Peer     string    `json:"peer,omitempty"`
	Revision Revision  `json:"revision,omitempty"`
	Verdict  string    `json:"verdict,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}
