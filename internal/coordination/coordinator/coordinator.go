// Package coordinator implements a state machine that runs one query over the shards of a pinned
// snapshot. Methods take the current time as an argument and return the actions to take.
package coordinator

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Action is one thing to do for the query. Exactly one of the pointers is set.
type Action struct {
	Send   *wigeonspindle.Attempt
	Kind   wigeonspindle.SendKind // Kind is the reason for Send.
	Cancel *wigeonspindle.Cancel
	Answer *wigeonspindle.Answer
	Event  *wigeonspindle.Event
}

// Limits of the attempts of one shard.
const (
	// maxRuns bounds the attempts of a shard that may have run, so that a request that fails on
	// every target is not sent to all replicas.
	maxRuns = 3
	// minBackoff and maxBackoff bound the back-off before the replicas of a shard are tried again
	// after all of them refused, for example while the ownership of targets changes.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// canaryTimeout is how long the other shards wait for the canary while there is no latency
	// estimate.
	canaryTimeout = 50 * time.Millisecond
	// maxSendEvents is the largest number of shards for which each first send is recorded as an
	// event. Larger queries record one event for all, so that they do not displace the history.
	maxSendEvents = 64
)

// Coordinator holds the state of one query. Its exported fields are set before Start.
type Coordinator struct {
	Query       wigeonspindle.Query
	Index       *wigeonspindle.Index
	Picker      wigeonspindle.Picker
	Policy      wigeonspindle.Policy
	Estimator   wigeonspindle.LatencyEstimator
	HedgeBudget wigeonspindle.Budget // HedgeBudget bounds the hedges of the host.
	RetryBudget wigeonspindle.Budget // RetryBudget bounds the retries of attempts that may have run.
	// Canary makes the query send one shard first, because no query with its fingerprint has
	// succeeded recently.
	Canary bool
	// IsSuspect reports whether the fingerprint is suspected of crashing targets.
	IsSuspect func() bool
	// NextAttemptID returns an attempt ID that was never used before.
	NextAttemptID func() wigeonspindle.AttemptID

	snapshot         *wigeonspindle.Snapshot
	abandonedVersion string // abandonedVersion is the version of the snapshot that a restart abandoned.
	generation       int
	shards           []shard
	entryHost        wigeonspindle.Incarnation
	inFlight         map[uint64]inFlightAttempt // inFlight is keyed by the attempt's counter.
	openShards       int                        // openShards counts the shards that neither answered nor failed.
	answeredShards   int
	attemptCount     int
	hedgeCount       int
	verdict          wigeonspindle.Verdict // verdict is the highest of all attempts so far.
	lastFailure      wigeonspindle.Outcome // lastFailure is the latest failure, without its body.

	softDeadline   time.Time
	hedgeDelay     time.Duration
	nextWake       time.Time
	awaitingCanary bool      // awaitingCanary holds back all shards but the first.
	canaryDeadline time.Time // canaryDeadline is when the other shards are sent at the latest.
	targetCrashed  bool
	done           bool
	actions        []Action
	preallocated   []wigeonspindle.Attempt // preallocated holds the unused attempts of the shared allocation.
}

// shard is the state of one shard of the query.
type shard struct {
	name         string
	tried        []string
	triedBuffer  [2]string // triedBuffer is the initial storage of tried.
	counters     [2]uint64 // counters identifies the attempts in flight: at most one and its hedge.
	running      int       // running is the number of attempts in flight.
	possibleRuns int       // possibleRuns counts the attempts that may have run.
	retryRounds  int       // retryRounds counts how often all replicas were tried.
	hedgeAt      time.Time
	retryAt      time.Time
	body         []byte
	answered     bool
	failed       bool
	verdict      wigeonspindle.Verdict
}

func (s *shard) closed() bool { return s.answered || s.failed }

type inFlightAttempt struct {
	shard  int // shard is the index in Coordinator.shards.
	target string
	sentAt time.Time
}

// Start pins a snapshot and returns the actions that send the first attempts.
func (c *Coordinator) Start(now time.Time) []Action {
	c.verdict = wigeonspindle.NotRun
	c.softDeadline = c.Policy.SoftDeadline(c.Query.Arrived, c.Query.Deadline)
	if !now.Before(c.Query.Deadline) {
		return c.refuse(wigeonspindle.CodeExpired, "", "the deadline has passed")
	}
	if duplicate := firstDuplicate(c.Query.Shards); duplicate != "" {
		return c.refuse(wigeonspindle.CodeInvalid, "shards", "shard "+duplicate+" is named twice")
	}
	snapshot, known := c.pinSnapshot(now)
	switch {
	case !known:
		return c.refuse(wigeonspindle.CodeUnavailable, "", "the index has no snapshot in service")
	case snapshot == nil:
		return c.refuse(wigeonspindle.CodeInvalid, "shards", "no snapshot in service has all of these shards")
	case c.Query.Class == wigeonspindle.ClassOnce && len(c.shardNames(snapshot)) != 1:
		return c.refuse(wigeonspindle.CodeInvalid, "shards", "a once request must name exactly one shard")
	}
	c.startOn(snapshot, now)
	c.finishIfDue(now)
	return c.takeActions()
}

// HandleOutcome handles the outcome of an attempt. Outcomes whose attempt, generation, shard or
// target does not match are dropped, and answers from another snapshot count as failures.
func (c *Coordinator) HandleOutcome(outcome wigeonspindle.Outcome, now time.Time) []Action {
	f, ok := c.inFlight[outcome.ID.Counter]
	if c.done || !ok || outcome.ID.EntryHost != c.entryHost || outcome.Generation != c.generation || outcome.Shard != c.shards[f.shard].name || outcome.Target != f.target {
		c.recordEvent(wigeonspindle.EventDropped, outcome.Shard, outcome.Target, outcome.Verdict, "late, duplicate or foreign outcome")
		return c.takeActions()
	}
	delete(c.inFlight, outcome.ID.Counter)
	s := &c.shards[f.shard]
	s.removeAttempt(outcome.ID.Counter)
	if outcome.Verdict != wigeonspindle.NotRun && outcome.Verdict != wigeonspindle.Ran {
		outcome.Verdict = wigeonspindle.MayHaveRun // An unknown verdict does not rule out a run.
	}
	c.recordVerdict(s, outcome.Verdict)
	switch {
	case !outcome.Answered():
		c.handleFailure(f, outcome, now)
	case outcome.Snapshot != c.snapshot.Version:
		c.recordEvent(wigeonspindle.EventDropped, s.name, f.target, outcome.Verdict, "answer of snapshot "+outcome.Snapshot)
		outcome.Code, outcome.Message = wigeonspindle.CodeNoSnapshot, "the target answered from another snapshot"
		c.handleFailure(f, outcome, now)
	default:
		c.acceptAnswer(f, outcome, now)
	}
	c.finishIfDue(now)
	return c.takeActions()
}

// Tick handles deadlines, hedges and retries that are due. It must be called at NextWake.
func (c *Coordinator) Tick(now time.Time) []Action {
	if c.done {
		return nil
	}
	c.finishIfDue(now)
	if c.done {
		return c.takeActions()
	}
	if c.awaitingCanary && !c.targetCrashed && !now.Before(c.canaryDeadline) {
		c.sendHeldShards(now)
	}
	c.nextWake = c.Query.Deadline
	for i := 0; i < len(c.shards); i++ { // A restart replaces c.shards.
		if !c.shards[i].closed() {
			c.runTimers(i, now)
		}
		if s := &c.shards[min(i, len(c.shards)-1)]; !s.closed() {
			c.scheduleWake(s.hedgeAt)
			c.scheduleWake(s.retryAt)
		}
	}
	if c.awaitingCanary && !c.targetCrashed {
		c.scheduleWake(c.canaryDeadline)
	}
	if now.Before(c.softDeadline) {
		c.scheduleWake(c.softDeadline)
	}
	c.finishIfDue(now)
	return c.takeActions()
}

// Stop ends the query early with a refusal, for example because its fingerprint is quarantined.
func (c *Coordinator) Stop(code wigeonspindle.Code, message string, now time.Time) []Action {
	if c.done {
		return nil
	}
	c.lastFailure.Code, c.lastFailure.Message = code, message
	c.finish(now, true)
	return c.takeActions()
}

// NextWake returns the time at which Tick must be called next.
func (c *Coordinator) NextWake() time.Time { return c.nextWake }

// Done reports whether the query has ended.
func (c *Coordinator) Done() bool { return c.done }

// pinSnapshot returns the newest snapshot of which each shard has a replica or, if there is none,
// the newest that has all shards of the query. It reports false when no snapshot is in service.
func (c *Coordinator) pinSnapshot(now time.Time) (pinned *wigeonspindle.Snapshot, known bool) {
	for i := range slices.Backward(c.Index.Snapshots) {
		snapshot := &c.Index.Snapshots[i]
		if snapshot.Withdrawn || snapshot.Version == c.abandonedVersion {
			continue
		}
		known = true
		if !containsAll(snapshot.Shards, c.Query.Shards) {
			continue
		}
		if c.hasReplicas(snapshot, now) {
			return snapshot, true
		}
		if pinned == nil {
			pinned = snapshot
		}
	}
	return pinned, known
}

func (c *Coordinator) hasReplicas(snapshot *wigeonspindle.Snapshot, now time.Time) bool {
	for _, name := range c.shardNames(snapshot) {
		if !c.Picker.HasSnapshot(c.Index.Name, snapshot.Version, name, now) {
			return false
		}
	}
	return true
}

// shardNames returns the shards of a snapshot that the query addresses.
func (c *Coordinator) shardNames(snapshot *wigeonspindle.Snapshot) []string {
	if len(c.Query.Shards) > 0 {
		return c.Query.Shards
	}
	return snapshot.Shards
}

func (c *Coordinator) startOn(snapshot *wigeonspindle.Snapshot, now time.Time) {
	names := c.shardNames(snapshot)
	c.snapshot, c.answeredShards, c.openShards = snapshot, 0, len(names)
	c.hedgeDelay = c.Policy.HedgeDelay(c.Estimator.Estimate(now))
	c.shards = make([]shard, len(names))
	c.inFlight = make(map[uint64]inFlightAttempt, len(names))
	c.preallocated = make([]wigeonspindle.Attempt, len(names))
	c.actions = slices.Grow(c.actions, len(names)+2)
	for i, name := range names {
		s := &c.shards[i]
		s.name, s.verdict, s.tried = name, wigeonspindle.NotRun, s.triedBuffer[:0]
	}
	c.nextWake = c.Query.Deadline
	c.scheduleWake(c.softDeadline)
	if c.awaitingCanary = c.Canary && c.generation == 0 && len(names) > 1; c.awaitingCanary {
		c.canaryDeadline = now.Add(canaryTimeout)
		if estimate := c.Estimator.Estimate(now); estimate.Count > 0 {
			c.canaryDeadline = now.Add(max(estimate.P95, time.Millisecond))
		}
		c.scheduleWake(c.canaryDeadline)
		c.sendFirst(0, wigeonspindle.SendCanary, now)
		return
	}
	c.fanOut(0, now)
}

// fanOut sends the first attempts of all shards whose index is at least from. It stops if one of
// them restarts the query, because the restart sends its own.
func (c *Coordinator) fanOut(from int, now time.Time) {
	for i, generation := from, c.generation; i < len(c.shards) && c.generation == generation; i++ {
		c.sendFirst(i, wigeonspindle.SendFirst, now)
	}
	if len(c.shards) > maxSendEvents {
		c.recordEvent(wigeonspindle.EventSent, "", "", 0, "first attempts of all shards")
	}
}

// sendHeldShards sends the first attempts of the shards that waited for the canary.
func (c *Coordinator) sendHeldShards(now time.Time) {
	c.awaitingCanary = false
	c.fanOut(1, now)
}

func (c *Coordinator) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// scheduleWake makes NextWake return the given time or an earlier one. It ignores a zero time.
func (c *Coordinator) scheduleWake(at time.Time) {
	if !at.IsZero() && at.Before(c.nextWake) {
		c.nextWake = at
	}
}

func (c *Coordinator) recordEvent(kind wigeonspindle.EventKind, shard, target string, verdict wigeonspindle.Verdict, detail string) {
	event := &wigeonspindle.Event{Kind: kind, Trace: c.Query.Trace, Shard: shard, Target: target, Detail: detail}
	if verdict != 0 {
		event.Verdict = verdict.String()
	}
	c.actions = append(c.actions, Action{Event: event})
}

// firstDuplicate returns the first name that occurs a second time, or "".
func firstDuplicate(names []string) string {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			return name
		}
		seen[name] = true
	}
	return ""
}

// containsAll reports whether names contains all wanted names.
func containsAll(names, wanted []string) bool {
	if len(wanted) == 0 {
		return true
	}
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		seen[name] = true
	}
	return !slices.ContainsFunc(wanted, func(name string) bool { return !seen[name] })
}
