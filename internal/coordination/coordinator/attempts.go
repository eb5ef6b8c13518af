package coordinator

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// sendFirst sends the first attempt of a shard or, if no replica can take it, schedules a retry.
func (c *Coordinator) sendFirst(i int, kind wigeonspindle.SendKind, now time.Time) {
	if !c.sendAttempt(i, kind, now) {
		c.scheduleRetry(i, now)
	}
}

// sendAttempt sends an attempt of a shard to a replica that has not been tried. It reports false
// when none is left or, for a hedge, when the budget is exhausted.
func (c *Coordinator) sendAttempt(i int, kind wigeonspindle.SendKind, now time.Time) bool {
	s := &c.shards[i]
	target, ok := c.Picker.Pick(c.Index.Name, c.snapshot.Version, s.name, s.tried, now)
	if !ok || kind == wigeonspindle.SendHedge && !c.HedgeBudget.TryWithdraw() {
		return false
	}
	attempt := c.newAttempt()
	*attempt = wigeonspindle.Attempt{
		ID: c.NextAttemptID(), Query: c.Query.ID, Trace: c.Query.Trace, Target: target, Index: c.Index.Name, Shard: s.name,
		Snapshot: c.snapshot.Version, Generation: c.generation, Class: c.Query.Class, Identity: c.Query.Identity,
		Body: c.Query.Body, Deadline: c.Query.Deadline.Add(-wigeonspindle.HopMargin), Fingerprint: c.Query.Fingerprint,
		Exclusive: c.IsSuspect(), Hedge: kind == wigeonspindle.SendHedge,
	}
	s.tried = append(s.tried, target)
	s.counters[s.running] = attempt.ID.Counter
	s.running++
	c.entryHost = attempt.ID.EntryHost
	s.hedgeAt, s.retryAt = time.Time{}, time.Time{}
	c.inFlight[attempt.ID.Counter] = inFlightAttempt{shard: i, target: target, sentAt: now}
	c.attemptCount++
	c.actions = append(c.actions, Action{Send: attempt, Kind: kind})
	c.recordSend(s, kind, target)
	if kind == wigeonspindle.SendHedge {
		c.hedgeCount++
		return true
	}
	c.HedgeBudget.Deposit()
	if kind != wigeonspindle.SendRetry {
		c.RetryBudget.Deposit()
	}
	if c.Query.Class == wigeonspindle.ClassIdempotent && !attempt.Exclusive {
		s.hedgeAt = now.Add(c.hedgeDelay)
		c.scheduleWake(s.hedgeAt)
	}
	return true
}

// newAttempt returns a zero attempt. The first attempts of all shards share one allocation, which
// halves the number of allocations of a query over many shards.
func (c *Coordinator) newAttempt() *wigeonspindle.Attempt {
	if len(c.preallocated) == 0 {
		return &wigeonspindle.Attempt{}
	}
	attempt := &c.preallocated[0]
	c.preallocated = c.preallocated[1:]
	return attempt
}

// recordSend adds an event for an attempt to the time line.
func (c *Coordinator) recordSend(s *shard, kind wigeonspindle.SendKind, target string) {
	switch kind {
	case wigeonspindle.SendHedge:
		c.recordEvent(wigeonspindle.EventHedged, s.name, target, 0, "")
	case wigeonspindle.SendRetry:
		c.recordEvent(wigeonspindle.EventRetried, s.name, target, 0, string(c.lastFailure.Code))
	case wigeonspindle.SendCanary:
		c.recordEvent(wigeonspindle.EventSent, s.name, target, 0, "canary")
	default:
		if len(c.shards) <= maxSendEvents {
			c.recordEvent(wigeonspindle.EventSent, s.name, target, 0, "")
		}
	}
}

// runTimers sends the retry or the hedge of a shard if it is due.
func (c *Coordinator) runTimers(i int, now time.Time) {
	s := &c.shards[i]
	if !s.retryAt.IsZero() && !now.Before(s.retryAt) {
		s.retryAt = time.Time{}
		if !c.sendAttempt(i, wigeonspindle.SendRetry, now) {
			c.scheduleRetry(i, now)
		}
	}
	if s.hedgeAt.IsZero() || now.Before(s.hedgeAt) || s.running != 1 {
		return
	}
	// By definition, 5% of the attempts exceed the p95, which alone exhausts a budget of 5%. The
	// reserve is kept for attempts that exceed twice the delay, so that stragglers get a token.
	if late := c.inFlight[s.counters[0]].sentAt.Add(2 * c.hedgeDelay); now.Before(late) && !c.HedgeBudget.HasSurplus() {
		s.hedgeAt = late
		return
	}
	if !c.sendAttempt(i, wigeonspindle.SendHedge, now) {
		// The budget may have a token later. Checking again only after a quarter of the delay
		// limits the number of wake-ups.
		s.hedgeAt = now.Add(max(c.hedgeDelay/4, time.Millisecond))
	}
}

// acceptAnswer records the answer of a shard and cancels its other attempt.
func (c *Coordinator) acceptAnswer(f inFlightAttempt, outcome wigeonspindle.Outcome, now time.Time) {
	s := &c.shards[f.shard]
	c.Estimator.Observe(now.Sub(f.sentAt), now)
	s.answered, s.body, s.verdict = true, outcome.Body, wigeonspindle.Ran
	c.answeredShards++
	c.openShards--
	if s.running > 0 {
		c.cancelAttempts(f.shard, now, true)
	}
	if c.awaitingCanary {
		c.sendHeldShards(now)
	}
}

// handleFailure handles the failure of an attempt: it sends a retry, schedules one or fails the
// shard.
func (c *Coordinator) handleFailure(f inFlightAttempt, outcome wigeonspindle.Outcome, now time.Time) {
	s := &c.shards[f.shard]
	outcome.Body = nil
	c.lastFailure = outcome
	c.recordEvent(wigeonspindle.EventOutcome, s.name, f.target, outcome.Verdict, string(outcome.Code))
	c.targetCrashed = c.targetCrashed || outcome.Crashed
	if outcome.Code == wigeonspindle.CodeNoSnapshot {
		c.Picker.MarkSnapshotMissing(f.target, c.snapshot.Version, now)
	}
	ran := outcome.Verdict != wigeonspindle.NotRun
	if ran {
		s.possibleRuns++
	}
	switch {
	case s.running > 0:
		// The other attempt of the shard is still in flight.
	case ran && !c.mayRetry(s, outcome):
		c.failShard(f.shard, now)
	case !c.sendAttempt(f.shard, wigeonspindle.SendRetry, now):
		c.scheduleRetry(f.shard, now)
	}
}

// mayRetry reports whether a shard may be retried after an attempt that may have run.
func (c *Coordinator) mayRetry(s *shard, outcome wigeonspindle.Outcome) bool {
	return c.Query.Class == wigeonspindle.ClassIdempotent && outcome.Code != wigeonspindle.CodeTooLarge &&
		s.possibleRuns < maxRuns && c.RetryBudget.TryWithdraw()
}

// scheduleRetry schedules a retry over all replicas of a shard after an exponential back-off. If
// no replica may hold the snapshot, the query restarts or the shard fails.
func (c *Coordinator) scheduleRetry(i int, now time.Time) {
	s := &c.shards[i]
	if !c.Picker.HasSnapshot(c.Index.Name, c.snapshot.Version, s.name, now) {
		c.lastFailure.Code, c.lastFailure.Message = wigeonspindle.CodeUnavailable, "no replica in service holds the snapshot"
		if !c.restart(now) {
			c.failShard(i, now)
		}
		return
	}
	at := now.Add(min(minBackoff<<min(s.retryRounds, 8), maxBackoff))
	if !at.Before(c.Query.Deadline) {
		c.failShard(i, now)
		return
	}
	s.retryRounds++
	s.tried, s.retryAt, s.hedgeAt = s.tried[:0], at, time.Time{}
	c.scheduleWake(at)
}

func (c *Coordinator) failShard(i int, now time.Time) {
	c.shards[i].failed = true
	c.openShards--
	switch {
	case c.awaitingCanary && c.targetCrashed:
		c.openShards = 0 // The other shards are not sent, because the canary crashed its target.
	case c.awaitingCanary:
		c.sendHeldShards(now)
	}
}

// restart starts the query again on another snapshot and reports whether it did. A query restarts
// at most once, only if the policy allows it in the time left, and, for a once request, only if no
// attempt may have run.
func (c *Coordinator) restart(now time.Time) bool {
	remaining, budget := c.Query.Deadline.Sub(now), c.Query.Deadline.Sub(c.Query.Arrived)
	if c.generation > 0 || !c.Policy.ShouldRestart(remaining, budget) {
		return false
	}
	if c.Query.Class == wigeonspindle.ClassOnce && c.verdict != wigeonspindle.NotRun {
		return false
	}
	c.abandonedVersion = c.snapshot.Version
	next, _ := c.pinSnapshot(now)
	if next == nil || !c.hasReplicas(next, now) {
		return false
	}
	c.recordEvent(wigeonspindle.EventRestarted, "", "", 0, c.abandonedVersion+" to "+next.Version)
	for i := range c.shards {
		c.cancelAttempts(i, now, false)
	}
	c.generation++
	c.startOn(next, now)
	return true
}

// cancelAttempts cancels the attempts of a shard, which may have run. If measured is set, their
// ages are added to the latency estimate as lower bounds; otherwise the slowest attempts, which
// lost to a hedge or reached the deadline, would be missing from the estimate.
func (c *Coordinator) cancelAttempts(i int, now time.Time, measured bool) {
	s := &c.shards[i]
	for _, counter := range s.counters[:s.running] {
		f := c.inFlight[counter]
		delete(c.inFlight, counter)
		if measured {
			c.Estimator.Observe(now.Sub(f.sentAt), now)
		}
		id := wigeonspindle.AttemptID{EntryHost: c.entryHost, Counter: counter}
		c.actions = append(c.actions, Action{Cancel: &wigeonspindle.Cancel{ID: id, Target: f.target}})
		c.recordVerdict(s, wigeonspindle.MayHaveRun)
	}
	s.running = 0
}

func (s *shard) removeAttempt(counter uint64) {
	if s.counters[0] == counter {
		s.counters[0] = s.counters[1]
	}
	s.running--
}

// recordVerdict raises the verdicts of a shard and of the query to that of an attempt.
func (c *Coordinator) recordVerdict(s *shard, verdict wigeonspindle.Verdict) {
	s.verdict = max(s.verdict, verdict)
	c.verdict = max(c.verdict, verdict)
}
