package wigeonspindle

import (
	"fmt"
	"time"
)

// Claim asks the voters for leases on targets or renews them. One claim covers all targets of
// a holder.
type Claim struct {
	Holder  Incarnation
	Era     uint64 // Era is the roster era that the holder knows.
	Counter uint64 // Counter matches grants to claims; the holder never repeats it.
	Targets []ClaimTarget
}

// ClaimTarget is one target of a claim.
type ClaimTarget struct {
	Target string
	// Level is the holder's ramp level of the target, kept by voters for the next owner.
	// Zero means that the holder does not know the level.
	Level float64
}

// Grant is a voter's answer to a claim.
type Grant struct {
	Voter   Incarnation
	Era     uint64
	Seat    int      // Seat is the index of the voter's seat.
	Terms   []uint64 // Terms are the terms of all seats that the voter knows.
	Counter uint64
	Lease   time.Duration // Lease runs from when the holder sent the claim.
	Targets []ClaimTarget // Targets are those granted, each with the last known level.
	Denied  []string
}

// Release returns leases before they expire.
type Release struct {
	Holder Incarnation
	// Counter is that of the holder's last claim, so that a voter drops a release that a
	// newer claim overtook.
	Counter uint64
	Targets []ClaimTarget
}

// Notice carries the roster that the sender knows.
type Notice struct {
	Roster Roster
}

// Acknowledgement tells the new voter of a seat that another voter knows the seat's term and
// refuses votes of its earlier terms.
type Acknowledgement struct {
	Voter       Incarnation
	Era         uint64
	Seat        int
	Term        uint64
	Incarnation Incarnation // Incarnation is the new voter that Voter accepted.
	Terms       []uint64    // Terms are the terms of all seats that the voter knows.
	// LeaseRemaining is the time left of the longest lease that the voter has granted.
	LeaseRemaining time.Duration
}

// Ownership maps targets to the hosts expected to hold their leases.
type Ownership struct {
	Owners map[string]Host
}

// Heartbeat is sent to each host of the cell twice a second.
type Heartbeat struct {
	Host           Host
	Leaving        bool
	Revision       Revision
	Era            uint64
	Terms          []uint64 // Terms are the roster terms that the host knows.
	HeardHosts     []string // HeardHosts names the hosts whose heartbeats arrived recently.
	Overrides      []Override
	LeavingTargets []string // LeavingTargets names targets seen leaving or draining.
}

// Suspicion reports one crash as evidence that a fingerprint crashes targets. Each crash is a
// suspicion of its own, so that hosts can add up what they have seen and none replaces the evidence
// of another. One without a score claims a trial: Crash is the name of the trial, and Target that of the claim.
type Suspicion struct {
	Fingerprint uint64
	Crash       string // Crash identifies the crash among those of all hosts.
	// Score is the weight of the crash as evidence: 1, divided by the number of requests that were
	// lost with it.
	Score float64
	// Pool is the pool of the target, or its shard. An answer from another pool is no evidence that
	// the call does not crash the targets of this one.
	Pool    string
	Target  string
	Expires time.Time
	// Simultaneous reports that the target may have been lost together with others for another
	// reason. All such suspicions against a fingerprint count as one crash.
	Simultaneous bool
	// Wide reports that the fingerprint leaves out the caller or the query, and with them what may make a call crash
	// its target.
	Wide bool
	// Cleared withdraws the suspicion.
	Cleared bool
}

// Trial reports that the suspicion is the claim of a host to let one call with a quarantined fingerprint through.
func (s Suspicion) Trial() bool { return s.Score == 0 && !s.Cleared }

// Name returns the name under which hosts share the suspicion.
func (s Suspicion) Name() string { return s.FingerprintName() + "/" + s.Crash }

// FingerprintName returns the fingerprint as it appears in logs and names.
func (s Suspicion) FingerprintName() string { return fmt.Sprintf("%016x", s.Fingerprint) }
