// Package limiter enforces the limits of one target: its slots, the length of its queue and the
// rate of starts while it is cold. Methods take the current time as an argument, so that traces
// replay deterministically.
package limiter

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// QueueSize is the maximum number of attempts that wait for one target.
const QueueSize = 64

const (
	// missingSnapshotTTL is how long attempts on a snapshot are refused after the target reported
	// that it does not hold the snapshot.
	missingSnapshotTTL = time.Second
	// cancelMargin is how long the slot of a cancelled or expired attempt remains occupied. The
	// target notices the end only when it reads that the connection was closed; without the
	// margin, 26 to 28 of 150 requests sent directly after a cancel found no free slot.
	cancelMargin = 2 * wigeonspindle.HopMargin
	// crashWindow is the time within which broken connections count as one crash.
	crashWindow = time.Second
)

// Limiter decides when the attempts of one target start. With a zero LeaseEnd it refuses all
// attempts.
type Limiter struct {
	Target wigeonspindle.Target
	// LeaseEnd is when the lease on the target expires.
	LeaseEnd time.Time
	// OutOfService marks a target whose failure domain is out of service. SetOutOfService changes it.
	OutOfService bool
	// Releasing marks a target whose lease the host releases once no attempt is in flight.
	Releasing bool

	ramp    ramp
	queue   []wigeonspindle.Attempt
	running map[wigeonspindle.AttemptID]runningAttempt
	// heldSlots are the times until which slots remain occupied after their attempts ended.
	heldSlots []time.Time
	// exclusive is set while an attempt runs that allows no other attempt in flight.
	exclusive        bool
	draining         bool
	missingSnapshots map[string]time.Time // missingSnapshots maps versions to the end of their refusal.
	processStart     string               // processStart identifies the target's process in its latest report.
	reportedCold     bool
	crashedAt        time.Time
	crashConcurrency int // crashConcurrency is the number of attempts in flight at the latest crash.
}

type runningAttempt struct {
	attempt   wigeonspindle.Attempt
	startedAt time.Time
}

// Refused is an attempt that was removed from the queue, with the reason.
type Refused struct {
	Attempt wigeonspindle.Attempt
	Refusal wigeonspindle.Refusal
}

// RestoreLevel sets the ramp level to the one stored by the voters. The unknown level, 0, is the
// floor, and so is any level of a target that is out of service, because it was stored before.
func (l *Limiter) RestoreLevel(level float64) {
	if l.OutOfService {
		level = 0
	}
	l.ramp.setLevel(level)
}

// SetOutOfService takes the target out of service or returns it to service. The level is reset
// to the floor, because the target is expected to be cold when it returns.
func (l *Limiter) SetOutOfService(outOfService bool) {
	if outOfService && !l.OutOfService {
		l.ramp.reset()
	}
	l.OutOfService = outOfService
}

// Level returns the ramp level to pass to the next owner, from the floor to 1. It differs from
// the level in Load, which is relative to the present speed of the target.
func (l *Limiter) Level() float64 { return l.ramp.clampedLevel() }

// InFlight returns the number of occupied slots, including those that remain occupied after
// their attempts ended.
func (l *Limiter) InFlight() int { return len(l.running) + len(l.heldSlots) }

// Offer queues an attempt and returns nil, or returns a refusal with verdict NotRun.
func (l *Limiter) Offer(attempt wigeonspindle.Attempt, now time.Time) *wigeonspindle.Refusal {
	if refusal := l.serviceRefusal(now); refusal != nil {
		return refusal
	}
	switch {
	case !now.Before(attempt.Deadline):
		return refuse(wigeonspindle.CodeExpired, "the deadline has passed")
	case len(l.queue) >= QueueSize:
		return refuse(wigeonspindle.CodeOverloaded, "the queue of the target is full")
	case now.Before(l.missingSnapshots[attempt.Snapshot]):
		return refuse(wigeonspindle.CodeNoSnapshot, "the target does not hold the snapshot")
	case now.Add(l.expectedWait(now)).After(attempt.Deadline):
		return refuse(wigeonspindle.CodeOverloaded, "the expected wait exceeds the deadline")
	}
	l.queue = append(l.queue, attempt)
	return nil
}

// serviceRefusal returns a refusal if the target accepts no attempts at present, or nil.
func (l *Limiter) serviceRefusal(now time.Time) *wigeonspindle.Refusal {
	switch {
	case !now.Before(l.LeaseEnd):
		return refuse(wigeonspindle.CodeNotOwner, "the host holds no lease on the target")
	case l.Releasing:
		return refuse(wigeonspindle.CodeNotOwner, "the host gives the target to another owner")
	case l.OutOfService:
		return refuse(wigeonspindle.CodeLeaving, "the failure domain of the target is out of service")
	case l.Target.Leaving || l.draining:
		return refuse(wigeonspindle.CodeLeaving, "the target is leaving")
	}
	return nil
}

// expectedWait estimates how long a new attempt would wait in the queue.
func (l *Limiter) expectedWait(now time.Time) time.Duration {
	var wait time.Duration
	if ahead := len(l.queue) + l.InFlight() - l.slots() + 1; ahead > 0 {
		wait = time.Duration(ahead) * l.ramp.expectedLatency() / time.Duration(l.slots())
	}
	paceDelay := l.ramp.nextStart(l.Target.Floor).Sub(now) + time.Duration(len(l.queue))*l.ramp.interval(l.Target.Floor)
	return max(wait, paceDelay)
}

// slots returns the maximum number of attempts in flight at the present level.
func (l *Limiter) slots() int {
	slots := max(1, l.Target.Slots)
	if l.ramp.relativeRate(l.Target.Floor, slots) < singleSlotBelow {
		return 1
	}
	return slots
}

// Next removes the next attempt from the queue and returns it, if one may start now. Its
// deadline is at most the end of the lease.
func (l *Limiter) Next(now time.Time) (wigeonspindle.Attempt, bool) {
	l.releaseHeldSlots(now)
	if len(l.queue) == 0 || !l.canStart(now) {
		return wigeonspindle.Attempt{}, false
	}
	attempt := l.queue[0]
	l.queue = l.queue[1:]
	if attempt.Deadline.After(l.LeaseEnd) {
		attempt.Deadline = l.LeaseEnd
	}
	if l.running == nil {
		l.running = make(map[wigeonspindle.AttemptID]runningAttempt)
	}
	l.running[attempt.ID] = runningAttempt{attempt: attempt, startedAt: now}
	l.exclusive = attempt.Exclusive
	l.ramp.lastStart = now
	return attempt, true
}

func (l *Limiter) canStart(now time.Time) bool {
	head := l.queue[0]
	switch {
	case l.serviceRefusal(now) != nil, !now.Before(head.Deadline):
		return false
	case l.InFlight() >= l.slots(), l.InFlight() > 0 && (l.exclusive || head.Exclusive):
		return false
	case l.LeaseEnd.Sub(now) < l.ramp.expectedLatency():
		// The lease would expire before the target can answer.
		return false
	}
	return !now.Before(l.ramp.nextStart(l.Target.Floor))
}

// Complete frees the slot of a finished attempt, updates the level from its outcome, and returns
// the outcome with the present load of the target.
func (l *Limiter) Complete(outcome wigeonspindle.Outcome, now time.Time) wigeonspindle.Outcome {
	run, ok := l.running[outcome.ID]
	if ok && outcome.Crashed {
		outcome.ConcurrentAttempts = l.recordCrash(run, now)
	}
	delete(l.running, outcome.ID)
	l.holdSlot(outcome, now)
	if len(l.running) == 0 {
		l.exclusive = false
	}
	switch {
	case outcome.Code == wigeonspindle.CodeUnreachable, outcome.Code == wigeonspindle.CodeBroken, outcome.Code == wigeonspindle.CodeShed:
		l.ramp.reset()
	case outcome.Code == wigeonspindle.CodeExpired && outcome.Verdict == wigeonspindle.MayHaveRun, outcome.Answered():
		l.ramp.recordCompletion(outcome.Took, l.Target.Floor, max(1, l.Target.Slots))
	case outcome.Code == wigeonspindle.CodeNoSnapshot:
		if l.missingSnapshots == nil {
			l.missingSnapshots = make(map[string]time.Time)
		}
		l.missingSnapshots[outcome.Snapshot] = now.Add(missingSnapshotTTL)
	case outcome.Code == wigeonspindle.CodeLeaving:
		l.draining = true
	}
	outcome.Load = l.Load()
	return outcome
}

// holdSlot keeps the slot of an attempt occupied while the target may still run it. For a silent
// connection, cancelMargin is enough: a connection counts as silent only after four times the
// slowest recent answer, by when the target has finished the request if it received it. Holding
// the slot until the deadline blocked cold targets when slow answers were taken for silence (p50
// of the demonstration 150 ms instead of 35 ms).
func (l *Limiter) holdSlot(outcome wigeonspindle.Outcome, now time.Time) {
	switch outcome.Code {
	case wigeonspindle.CodeCancelled, wigeonspindle.CodeExpired, wigeonspindle.CodeSilent:
		if outcome.Verdict != wigeonspindle.NotRun {
			l.heldSlots = append(l.heldSlots, now.Add(cancelMargin))
		}
	}
}

// releaseHeldSlots frees the held slots whose time has passed.
func (l *Limiter) releaseHeldSlots(now time.Time) {
	l.heldSlots = slices.DeleteFunc(l.heldSlots, func(until time.Time) bool { return !now.Before(until) })
}

// recordCrash returns the number of attempts in flight when the target crashed. The connections
// break one after the other, so later outcomes of the same crash use the count of the first.
func (l *Limiter) recordCrash(run runningAttempt, now time.Time) int {
	if now.Sub(l.crashedAt) > crashWindow || run.startedAt.After(l.crashedAt) {
		l.crashedAt, l.crashConcurrency = now, len(l.running)
	}
	return l.crashConcurrency
}

// HandleReport applies a load report of the target. Because reports may be wrong, they never
// raise the level, and repeated reports of a cold target lower it only once.
func (l *Limiter) HandleReport(report wigeonspindle.LoadReport) {
	if report.Cold && !l.reportedCold || l.processStart != "" && report.Start != l.processStart {
		l.ramp.reset()
	}
	l.reportedCold, l.processStart, l.draining = report.Cold, report.Start, report.Draining
	for _, snapshot := range report.Snapshots {
		delete(l.missingSnapshots, snapshot)
	}
}

// Cancel removes an attempt from the queue. It reports whether the attempt is already running,
// in which case it changes nothing.
func (l *Limiter) Cancel(id wigeonspindle.AttemptID) (running bool) {
	for i, attempt := range l.queue {
		if attempt.ID == id {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return false
		}
	}
	_, running = l.running[id]
	return running
}

// Expire removes from the queue and returns the attempts whose deadline has passed or, if the
// target accepts no attempts at present, all of them.
func (l *Limiter) Expire(now time.Time) []Refused {
	refusal := l.serviceRefusal(now)
	var refused []Refused
	kept := l.queue[:0]
	for _, attempt := range l.queue {
		switch {
		case refusal != nil:
			refused = append(refused, Refused{Attempt: attempt, Refusal: *refusal})
		case !now.Before(attempt.Deadline):
			expired := refuse(wigeonspindle.CodeExpired, "the attempt waited too long")
			refused = append(refused, Refused{Attempt: attempt, Refusal: *expired})
		default:
			kept = append(kept, attempt)
		}
	}
	l.queue = kept
	return refused
}

// NextWake returns the earliest time at which Expire or Next may have something to do without
// another event. It reports false if there is none.
func (l *Limiter) NextWake(now time.Time) (time.Time, bool) {
	l.releaseHeldSlots(now)
	var wake time.Time
	consider := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, until := range l.heldSlots {
		consider(until)
	}
	for _, attempt := range l.queue {
		consider(attempt.Deadline)
	}
	if len(l.queue) > 0 {
		consider(l.LeaseEnd)
		if nextStart := l.ramp.nextStart(l.Target.Floor); nextStart.After(now) {
			consider(nextStart)
		}
	}
	return wake, !wake.IsZero()
}

// Load returns the present load of the target as seen by its owner.
func (l *Limiter) Load() wigeonspindle.Load {
	return wigeonspindle.Load{
		Waiting: len(l.queue), Running: l.InFlight(), Expected: l.ramp.expectedLatency(),
		Level: l.ramp.relativeRate(l.Target.Floor, max(1, l.Target.Slots)),
	}
}

func refuse(code wigeonspindle.Code, message string) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{Code: code, Verdict: wigeonspindle.NotRun, Message: message}
}
