package wigeonspindle

import "time"

// Revision numbers accepted configurations; it only grows.
type Revision uint64

// Preference selects the policy of an index.
type Preference string

const (
	// PreferCoverage waits for every shard until the deadline.
	PreferCoverage Preference = "coverage"
	// PreferTailLatency returns at the soft deadline with the results that have arrived.
	PreferTailLatency Preference = "tail"
)

// Target is a back-end process that serves replicas of shards.
type Target struct {
	Name    string   `json:"name" validate:"required,max=128"`
	Address string   `json:"address" validate:"required,hostport"`
	Domain  string   `json:"domain" validate:"required,max=64"`
	Shards  []string `json:"shards" validate:"required,min=1,dive,required,max=128"`
	// Slots is the number of requests that the target runs at a time.
	Slots int `json:"slots" validate:"min=1,max=1024"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections" validate:"min=1,max=65536"`
	// Open is the time that a new connection takes.
	Open Duration `json:"open" validate:"min=0"`
	// Floor is the load that the target can take when cold, in requests per second.
	Floor float64 `json:"floor" validate:"gt=0,max=100000"`
	// Leaving marks a target that receives no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Snapshot is one version of an index with its own shard map.
type Snapshot struct {
	Version string   `json:"version" validate:"required,max=128"`
	Shards  []string `json:"shards" validate:"required,min=1,dive,required,max=128"`
	// Withdrawn marks a version that new queries must not pin.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Index is a searchable collection split into shards.
type Index struct {
	Name string `json:"name" validate:"required,max=128"`
	// ModRevision is the revision at which the index last changed; the committer sets it.
	ModRevision Revision   `json:"changed,omitempty"`
	Preference  Preference `json:"prefer" validate:"oneof=coverage tail"`
	// Snapshots are ordered from the oldest to the newest.
	Snapshots []Snapshot `json:"snapshots" validate:"required,min=1,max=16,dive"`
	Targets   []Target   `json:"targets" validate:"required,min=1,dive"`
}

// Domain is the operators' state of a failure domain.
type Domain struct {
	Name string `json:"name" validate:"required,max=64"`
	Out  bool   `json:"out"`
	// Stamp is when Out last changed; the committer sets it. An override with an earlier
	// stamp has no effect.
	Stamp Timestamp `json:"stamp,omitzero"`
}

// Rules are the operators' settings for the whole deployment.
type Rules struct {
	// Extra is the largest share of attempts that may be hedges.
	Extra float64 `json:"extra" validate:"min=0,max=0.5"`
	// Canary sends a new fingerprint to one shard before the others.
	Canary bool `json:"canary"`
	// Soft is the share of the time to the deadline after which a query on an index with
	// PreferTailLatency returns.
	Soft float64 `json:"soft" validate:"gt=0,max=1"`
	// Lifetime is how long the outcome of a once request is remembered.
	Lifetime Duration `json:"lifetime" validate:"min=1000000000,max=3600000000000"`
	// Expiry is how long a crashing request stays quarantined.
	Expiry Duration `json:"expiry" validate:"min=1000000000,max=86400000000000"`
	// Lease is the duration of a lease on a target.
	Lease Duration `json:"lease" validate:"min=500000000,max=60000000000"`
}

// Seat is the position of one voter in the roster.
type Seat struct {
	Host        string      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	Domain      string      `json:"domain"`
	// Term grows each time that the seat gets a new voter: by one when the voter transfers
	// the seat, to the next multiple of 65536 when the seat is assigned through the store. An
	// assignment therefore always supersedes transfers that its writer did not know.
	Term uint64 `json:"term"`
	// Pending marks a voter that the other seats have not confirmed yet. PreviousIncarnation
	// and PreviousHost are those of the voter that it replaces, empty for an additional seat.
	Pending             bool        `json:"pending,omitempty"`
	PreviousIncarnation Incarnation `json:"previous,omitempty"`
	PreviousHost        string      `json:"previoushost,omitempty"`
}

// Roster lists the voters that grant leases on targets.
type Roster struct {
	// Era grows when all seats are reassigned because a majority of the voters is dead.
	Era   uint64 `json:"era"`
	Seats []Seat `json:"seats,omitempty"`
}

// Config is one accepted configuration. It is immutable once published.
type Config struct {
	Revision Revision `json:"revision"`
	Rules    Rules    `json:"rules"`
	Domains  []Domain `json:"domains,omitempty" validate:"dive"`
	Indexes  []Index  `json:"indexes,omitempty" validate:"dive"`
}

// Delta carries the parts of a configuration that changed after revision From.
type Delta struct {
	From   Revision
	Config Config   // Config holds only the indexes that changed after From.
	Names  []string // Names lists every index of the new configuration.
}

// ConfigChange is an operator's proposal for a new configuration.
type ConfigChange struct {
	// Identity identifies the change, so that it can be found in the history when the store's
	// answer was lost.
	Identity         string   `json:"identity"`
	ExpectedRevision Revision `json:"expected"`
	Author           string   `json:"author"`
	Reason           string   `json:"reason"`
	Config           Config   `json:"config"`
}

// HistoryEntry is one line of the configuration history.
type HistoryEntry struct {
	Revision Revision  `json:"revision"`
	Identity string    `json:"identity"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	Summary  []string  `json:"summary"`
}

// Override is a temporary change of a domain's state, made while the store is unavailable.
type Override struct {
	Domain  string    `json:"domain"`
	Out     bool      `json:"out"`
	Stamp   Timestamp `json:"stamp"`
	Author  string    `json:"author"`
	Expires time.Time `json:"expires"`
}
