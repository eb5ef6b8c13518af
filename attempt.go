package wigeonspindle

import "time"

// AttemptID identifies an attempt: the entry host's incarnation and a counter that the
// entry host never repeats.
type AttemptID struct {
	EntryHost Incarnation
	Counter   uint64
}

// Attempt is one request to a target to run a query on one shard.
type Attempt struct {
	ID     AttemptID
	Query  uint64
	Trace  string
	Target string
	Index  string
	Shard  string
	// Snapshot is the pinned version; the target must serve exactly this version.
	Snapshot string
	// Generation counts restarts of the query on another snapshot.
	Generation  int
	Class       Class
	Identity    Identity
	Body        []byte
	Deadline    time.Time
	Fingerprint uint64
	// Exclusive asks the owner to run no other attempt on the target meanwhile, because
	// the fingerprint is suspected of crashing targets.
	Exclusive bool
	Hedge     bool
}

// Load is the owner's view of a target, returned with each outcome.
type Load struct {
	Waiting  int           // Waiting is the number of attempts queued at the owner.
	Running  int           // Running is the number of attempts in flight at the target.
	Level    float64       // Level is the ramp level, from the floor to 1.
	Expected time.Duration // Expected is the median time of a completed attempt.
}

// Outcome is the result of one attempt.
type Outcome struct {
	ID         AttemptID
	Query      uint64
	Target     string
	Shard      string
	Snapshot   string // Snapshot is the version that the target reports to have served.
	Generation int
	Verdict    Verdict
	Code       Code // Code is empty when the target answered.
	Message    string
	Body       []byte
	Took       time.Duration
	Load       Load
	// Crashed reports that the target failed while it ran the attempt.
	Crashed bool
	// ConcurrentAttempts is the number of attempts in flight at the target when it crashed.
	ConcurrentAttempts int
}

// Answered reports whether the outcome carries a shard's answer.
func (o Outcome) Answered() bool { return o.Code == "" && o.Verdict == Ran }

// Cancel withdraws an attempt whose outcome is no longer needed.
type Cancel struct {
	ID     AttemptID
	Target string
}
