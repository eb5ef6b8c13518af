package wigeonspindle

import "time"

// Stamp is a hybrid logical time: it orders an effect after its cause on all hosts.
type Stamp struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
}

// Less reports whether s is before other.
func (s Stamp) Less(other Stamp) bool {
	if !s.Wall.Equal(other.Wall) {
		return s.Wall.Before(other.Wall)
	}
	return s.Logical < other.Logical
}

// Kind names an event of the time line.
type Kind string

// Kinds of events.
const (
	EventAdmitted   Kind = "admitted"
	EventRefused    Kind = "refused"
	EventSent       Kind = "sent"
	EventHedged     Kind = "hedged"
	EventRetried    Kind = "retried"
	EventOutcome    Kind = "outcome"
	EventDropped    Kind = "dropped"
	EventRestarted  Kind = "restarted"
	EventAnswered   Kind = "answered"
	EventOwned      Kind = "owned"
	EventReleased   Kind = "released"
	EventLapsed     Kind = "lapsed"
	EventRamped     Kind = "ramped"
	EventCooled     Kind = "cooled"
	EventConfigured Kind = "configured"
	EventMember     Kind = "member"
	EventSeated     Kind = "seated"
	EventDomain     Kind = "domain"
	EventQuarantine Kind = "quarantine"
	EventDrain      Kind = "drain"
	EventLink       Kind = "link"
	EventStore      Kind = "store"
)

// Event is one entry of the time line.
type Event struct {
	Stamp    Stamp    `json:"stamp"`
	Kind     Kind     `json:"kind"`
	Host     string   `json:"host"`
	Domain   string   `json:"domain,omitempty"`
	Trace    string   `json:"trace,omitempty"`
	Shard    string   `json:"shard,omitempty"`
	Target   string   `json:"target,omitempty"`
	Peer     string   `json:"peer,omitempty"`
	Revision Revision `json:"revision,omitempty"`
	Verdict  string   `json:"verdict,omitempty"`
	Detail   string   `json:"detail,omitempty"`
}
