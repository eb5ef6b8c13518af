package gatherer

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/merger"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

// CallState is the state of one call.
type CallState struct {
	Call  *wigeonspindle.Call
	Route *wigeonspindle.Route
	// ConfigVersion is the version of the configuration that Route belongs to.
	ConfigVersion uint64
	// SoftDeadline is when the call is answered without the missing parts if the others give
	// the required coverage.
	SoftDeadline time.Time
	// HardDeadline is when the call ends in any case.
	HardDeadline time.Time
	// Suspicions are those that follow from the last result.
	Suspicions []wigeonspindle.Suspicion
	// WatchUntil is until when the replica of the last result may end because of it; zero when it is not to blame
	// then.
	WatchUntil time.Time
	// Trials are the claims under which a quarantined call is sent. Its replicas are tried one after the other until one
	// answers, and none after a send that may have run.
	Trials []wigeonspindle.Suspicion
	// TrialClaims are the trials to claim, so that a later call is sent although it is quarantined.
	TrialClaims []wigeonspindle.Suspicion
	// Noticed reports that the replica of the last result has said something new about itself.
	Noticed bool

	gatherer      *Gatherer
	fingerprints  []quarantiner.Fingerprint
	parts         []part
	requiredParts int
	answeredParts int
	failedParts   int
	mayHaveRun    bool
	decided       bool
	heldParts     []int // heldParts are the parts of a suspected call that wait for the answer to another one.
	// suspectedJustNow reports that the parts are held because of a crash that may have the same cause as the next one.
	suspectedJustNow bool
	resumeAt         time.Time // resumeAt is when a call with held parts may send again after a connection broke.
	nextTick         time.Time // nextTick is when Tick must be called; it may be earlier than necessary.
	brokenSends      int       // brokenSends counts the sends whose connection broke.
	hedgedAt         time.Time // hedgedAt is when the last hedge was sent.
	Hedges           int       // Hedges and Retries count the sends after the first of each part.
	Retries          int
	SkippedParts     int // SkippedParts counts the parts that were not sent, to relieve overloaded shards.
}

// HandleResult processes the result of a send and returns what to do next.
func (c *CallState) HandleResult(sent Send, exchange wigeonspindle.Exchange, now time.Time) Step {
	var step Step
	p := &c.parts[sent.PartIndex]
	p.removeInFlight(sent.Number)
	estimator := c.gatherer.estimator(c.Route)
	c.Noticed = c.gatherer.Selector.RecordResult(sent.Replica, sent.SentAt, sent.ExpectedLatency, exchange, now)
	c.gatherer.Throttler.Observe(p.pool, c.overloadSignal(exchange), now)
	if exchange.Response != nil && exchange.Response.Success() {
		estimator.Observe(exchange.Took, now)
	}
	c.Suspicions = c.updateSuspicions(sent, exchange, now)
	if c.decided {
		return step
	}
	if exchange.Verdict != wigeonspindle.NotRun {
		p.possibleRuns++
		c.mayHaveRun = true
	}
	if exchange.Sent {
		p.possibleArrivals++
	}
	switch {
	case p.response != nil || p.failed:
		// Another send has decided the part.
	case exchange.Response != nil && exchange.Response.Success():
		p.response = exchange.Response
		if len(c.Route.Shards) > 0 {
			p.response = merger.Trim(exchange.Response, c.Route.Top)
		}
		c.answeredParts++
		if c.answeredParts == 1 && !c.hedgedAt.IsZero() {
			c.nextTick = c.computeNextTick(now) // The hedges of the other parts may be due.
		}
	default:
		p.lastRefused = exchange.Verdict == wigeonspindle.NotRun && exchange.Sent
		if exchange.Response != nil && !exchange.Response.Refused && exchange.Response.Signature != "" {
			p.failure = exchange.Response
		}
		c.handleFailedSend(sent.PartIndex, now, &step)
		c.nextTick = c.partNextTick(p, c.nextTick, now)
	}
	c.advanceHeldParts(now, &step)
	c.decide(now, &step)
	return step
}

// updateSuspicions adds the result of a send to the evidence against calls that crash replicas,
// and returns the suspicions that follow.
func (c *CallState) updateSuspicions(sent Send, exchange wigeonspindle.Exchange, now time.Time) []wigeonspindle.Suspicion {
	correlator, fingerprints, pool, replica := c.gatherer.Correlator, c.fingerprints, sent.Replica.Pool, sent.Replica.ID
	c.WatchUntil = time.Time{}
	switch {
	case exchange.Response != nil && exchange.Response.Success():
		correlator.RecordReachable(replica, sent.SentAt)
		return correlator.RecordAnswer(fingerprints, pool, replica, now)
	case exchange.Response != nil:
		correlator.RecordReachable(replica, sent.SentAt)
		if exchange.Response.Failed() {
			// The replica may crash right after the answer.
			c.WatchUntil = correlator.RecordFailedSend(fingerprints, pool, replica, c.isolation(sent), now)
		}
	case exchange.Code == wigeonspindle.CodeBroken:
		c.brokenSends++
		c.WatchUntil = correlator.RecordFailedSend(fingerprints, pool, replica, c.isolation(sent), now)
		if c.holding() {
			c.resumeAt = now.Add(c.crashCheckDelay(now))
			c.nextTick = earlier(c.nextTick, c.resumeAt)
		}
	case exchange.Code == wigeonspindle.CodeCancelled && exchange.Sent && c.parts[sent.PartIndex].response == nil:
		c.WatchUntil = correlator.RecordAbandonedSend(fingerprints, pool, replica, c.isolation(sent), c.HardDeadline, now)
	case exchange.Code == wigeonspindle.CodeUnreachable:
		return c.gatherer.recordLoss(sent.Replica, exchange.Reachability, now)
	}
	return nil
}

// isolation returns how far the loss of the replica of a send is explained by the loss of others at the same time.
func (c *CallState) isolation(sent Send) quarantiner.Isolation {
	c.parts[sent.PartIndex].lost = true
	switch {
	case len(c.parts) == 1:
		return quarantiner.Isolated
	case c.holding() || c.onTrial():
		if c.suspectedJustNow {
			return quarantiner.SameShard
		}
		return quarantiner.Isolated
	case sent.Kind == wigeonspindle.SendFirst:
		return quarantiner.Simultaneous
	case c.lostParts() > 1:
		return quarantiner.Isolated
	}
	return quarantiner.SameShard
}

// lostParts returns the number of parts with a send that failed although its replica may have run it.
func (c *CallState) lostParts() int {
	count := 0
	for i := range c.parts {
		if c.parts[i].lost {
			count++
		}
	}
	return count
}

// Tick starts the hedges and retries that are due, and ends the call at its deadlines.
func (c *CallState) Tick(now time.Time) Step {
	var step Step
	if c.decided {
		return step
	}
	for i := range c.parts {
		p := &c.parts[i]
		if p.response != nil || p.failed {
			continue
		}
		if !p.retryAt.IsZero() && !now.Before(p.retryAt) {
			p.retryAt = time.Time{}
			if !p.waitingForOther {
				p.triedReplicas = p.triedReplicas[:0]
			}
			c.retryPart(i, now, &step)
		}
		if at := c.hedgeTime(p, now); !at.IsZero() && !now.Before(at) {
			c.sendPart(i, wigeonspindle.SendHedge, now, &step)
		}
	}
	c.advanceHeldParts(now, &step)
	c.nextTick = c.computeNextTick(now)
	c.decide(now, &step)
	return step
}

// HandleDeployment reconsiders the parts that wait for their next round when the deployment has changed: a replica
// may have become usable earlier, or none may be left. It reports whether anything has changed for the call.
func (c *CallState) HandleDeployment(now time.Time) (Step, bool) {
	var step Step
	if c.decided {
		return step, false
	}
	changed := false
	for i := range c.parts {
		p := &c.parts[i]
		if p.response != nil || p.failed || p.retryAt.IsZero() || p.waitingForOther || len(p.inFlight) > 0 {
			continue
		}
		retryAt, ok := c.nextRoundAt(p, now)
		switch {
		case !ok:
			p.retryAt = time.Time{}
			c.failPart(p)
		case retryAt.Equal(p.retryAt):
			continue
		default:
			p.retryAt = retryAt
		}
		changed = true
	}
	if !changed {
		return step, false
	}
	c.advanceHeldParts(now, &step)
	c.nextTick = c.computeNextTick(now)
	c.decide(now, &step)
	return step, true
}

// FinishBy brings the deadline of a call forward, because the host stops.
func (c *CallState) FinishBy(deadline, now time.Time) Step {
	var step Step
	c.HardDeadline, c.SoftDeadline = earlier(c.HardDeadline, deadline), earlier(c.SoftDeadline, deadline)
	c.nextTick = c.computeNextTick(now)
	c.decide(now, &step)
	return step
}

// Cancel ends a call whose caller no longer waits for it.
func (c *CallState) Cancel() { c.decided = true }

// Decided reports whether the call was answered or cancelled.
func (c *CallState) Decided() bool { return c.decided }

// Fingerprints returns the hashes under which the call is suspected of crashing replicas.
func (c *CallState) Fingerprints() []quarantiner.Fingerprint { return c.fingerprints }

// Coverage returns the number of answered parts and of all parts.
func (c *CallState) Coverage() (answered, total int) { return c.answeredParts, len(c.parts) }

// SendCount returns the number of sends of all parts, including discarded ones.
func (c *CallState) SendCount() int {
	count := 0
	for i := range c.parts {
		count += c.parts[i].sendCount
	}
	return count
}

// usableParts returns the number of parts with a usable replica.
func (c *CallState) usableParts(now time.Time) int {
	usable := 0
	expected := c.expectedLatency(now)
	for i := range c.parts {
		if c.gatherer.Selector.HasUsableReplica(c.gatherer.Deployment, c.parts[i].pool, expected, now) {
			usable++
		}
	}
	return usable
}

// usablePool reports whether the call has a part in a pool that has a usable replica.
func (c *CallState) usablePool(pool string, now time.Time) bool {
	return slices.ContainsFunc(c.parts, func(p part) bool { return p.pool == pool }) &&
		c.gatherer.Selector.HasUsableReplica(c.gatherer.Deployment, pool, c.expectedLatency(now), now)
}

// queueWaits returns the expected time of each part in the queue of its replica.
func (c *CallState) queueWaits(now time.Time) []time.Duration {
	expected := c.expectedLatency(now)
	waits := make([]time.Duration, len(c.parts))
	for i := range c.parts {
		waits[i] = c.gatherer.Selector.QueueWait(c.gatherer.Deployment, c.parts[i].pool, expected, now)
	}
	return waits
}

// decide sets the reply if the call can be decided now, and the time of the next tick otherwise.
func (c *CallState) decide(now time.Time, step *Step) {
	if c.decided {
		return
	}
	undecidedParts := len(c.parts) - c.answeredParts - c.failedParts
	sufficient := c.answeredParts >= c.requiredParts && (undecidedParts == 0 || !now.Before(c.SoftDeadline))
	cannotSucceed := c.answeredParts+undecidedParts < c.requiredParts
	if !sufficient && !cannotSucceed && now.Before(c.HardDeadline) {
		step.NextTick = c.nextTick
		return
	}
	c.decided = true
	for _, send := range step.Sends {
		c.DiscardSend(send)
	}
	step.Sends = nil
	c.endTrial(now)
	switch {
	case sufficient:
		step.Reply = c.successReply()
	case cannotSucceed:
		step.Reply = c.failureReply(now)
	default:
		step.Reply = c.refusalReply(wigeonspindle.CodeExpired, "the deadline has passed", now)
	}
}

// DiscardSend removes a send that was not made because the call had been decided.
func (c *CallState) DiscardSend(send Send) {
	c.parts[send.PartIndex].removeInFlight(send.Number)
	c.gatherer.Selector.DiscardSend(send.Replica.ID, send.SentAt)
}

// computeNextTick returns the time of the next decision. It goes through all parts and must not be
// called for each result: a call over 850 shards spent 84 ms in it that way.
func (c *CallState) computeNextTick(now time.Time) time.Time {
	next := c.HardDeadline
	if now.Before(c.SoftDeadline) {
		next = earlier(next, c.SoftDeadline)
	}
	if c.holding() && now.Before(c.resumeAt) {
		next = earlier(next, c.resumeAt)
	}
	for i := range c.parts {
		next = c.partNextTick(&c.parts[i], next, now)
	}
	return next
}

// partNextTick returns the time of the next decision about a part, or next if that is earlier.
func (c *CallState) partNextTick(p *part, next, now time.Time) time.Time {
	if p.response != nil || p.failed {
		return next
	}
	return earlier(earlier(next, p.retryAt), c.hedgeTime(p, now))
}

func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
