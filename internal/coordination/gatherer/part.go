package gatherer

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// part is the state of the part of a call that one shard answers, or of the whole call when a
// single replica answers it.
type part struct {
	pool             string
	response         *wigeonspindle.Response // response is the accepted answer.
	failure          *wigeonspindle.Response // failure is a failure that a replica signed.
	triedReplicas    []string
	inFlight         []Send
	sendCount        int
	possibleArrivals int // possibleArrivals counts the sends that may have reached a replica.
	possibleRuns     int // possibleRuns counts the replicas that may have run the call.
	refusals         int
	retryAt          time.Time // retryAt is when the part is sent again; zero when no retry is scheduled.
	roundDelayEnd    time.Time // roundDelayEnd is the earliest start of the next round.
	waitingForOther  bool      // waitingForOther reports that the retry waits for the retry of another part.
	failed           bool
	lost             bool // lost reports that a send failed although its replica may have run it.
	lastRefused      bool // lastRefused reports that the last failure was a refusal by a replica.
}

// sendFirst makes the first send of each part that is not skipped.
func (c *CallState) sendFirst(now time.Time, step *Step) {
	for i := range c.parts {
		if !c.parts[i].failed {
			c.sendPart(i, wigeonspindle.SendFirst, now, step)
		}
	}
}

// sendPart sends a part to a replica. If it cannot be sent, it fails, unless a send is in flight
// or a retry is scheduled.
func (c *CallState) sendPart(index int, kind wigeonspindle.SendKind, now time.Time, step *Step) {
	p := &c.parts[index]
	replica, ok := c.pickReplica(p, now)
	switch {
	case ok:
		c.sendTo(index, kind, replica, now, step)
	case kind == wigeonspindle.SendHedge:
		p.refusals = maxSendsPerPart // The part is not hedged again.
	case len(p.inFlight) == 0 && p.retryAt.IsZero():
		c.failPart(p)
	}
}

// pickReplica chooses the replica for the next send of a part and takes a repeat from the budget if a
// send of the part may have arrived. It reports false if the part cannot be sent.
func (c *CallState) pickReplica(p *part, now time.Time) (*wigeonspindle.Replica, bool) {
	replica, ok := c.gatherer.Selector.Pick(c.gatherer.Deployment, p.pool, p.triedReplicas, c.expectedLatency(now), now)
	if !ok || p.sendCount > 0 && !c.gatherer.Correlator.QuarantinedUntil(c.fingerprints, now).IsZero() {
		return nil, false
	}
	if p.sendCount > 0 && (p.possibleArrivals > 0 || len(p.inFlight) > 0) {
		ok = p.sendCount < maxSendsPerPart && c.gatherer.Budget.AllowRepeat(p.pool, c.budgetShareCount(), now)
	}
	return replica, ok
}

// sendTo sends a part to a replica.
func (c *CallState) sendTo(index int, kind wigeonspindle.SendKind, replica *wigeonspindle.Replica, now time.Time, step *Step) {
	p := &c.parts[index]
	send := Send{PartIndex: index, Number: p.sendCount, Kind: kind, Replica: replica, SentAt: now, ExpectedLatency: c.expectedLatency(now)}
	p.sendCount++
	p.triedReplicas = append(p.triedReplicas, replica.ID)
	send.Probe = c.gatherer.Selector.RecordSend(replica, now)
	p.inFlight = append(p.inFlight, send)
	switch kind {
	case wigeonspindle.SendHedge:
		c.Hedges++
		c.hedgedAt = now
	case wigeonspindle.SendRetry:
		c.Retries++
	}
	step.Sends = append(step.Sends, send)
}

// HandleStalled moves a send that still waits for a connection to another replica. It reports whether the
// send is withdrawn; otherwise no other replica can take the part, and the send goes on waiting.
func (c *CallState) HandleStalled(sent Send, now time.Time) (Step, bool) {
	step := Step{NextTick: c.nextTick}
	p := &c.parts[sent.PartIndex]
	c.gatherer.Selector.RecordStalled(sent.Replica, now)
	if c.decided || p.response != nil || p.failed || len(p.inFlight) != 1 || !c.mayRunAgain(p) {
		return step, false
	}
	tried := p.triedReplicas
	if c.allReplicasTried(p, now) {
		p.triedReplicas = []string{sent.Replica.ID}
	}
	p.inFlight = p.inFlight[:0] // It has not reached the replica and needs no budget.
	replica, ok := c.pickReplica(p, now)
	if !ok {
		p.triedReplicas, p.inFlight = tried, append(p.inFlight, sent)
		return step, false
	}
	c.gatherer.Selector.DiscardSend(sent.Replica.ID, sent.SentAt)
	c.sendTo(sent.PartIndex, wigeonspindle.SendRetry, replica, now, &step)
	step.NextTick = c.partNextTick(p, step.NextTick, now)
	c.nextTick = step.NextTick
	return step, true
}

// mayRunAgain reports whether one more replica may run a part.
func (c *CallState) mayRunAgain(p *part) bool {
	return p.possibleRuns == 0 || c.Route.Class != wigeonspindle.ClassOnce && p.possibleRuns < c.Route.Attempts
}

// handleFailedSend retries a part after a failed send, schedules the retry or fails the part.
func (c *CallState) handleFailedSend(index int, now time.Time, step *Step) {
	p := &c.parts[index]
	if !c.mayRunAgain(p) {
		if len(p.inFlight) == 0 {
			c.failPart(p)
		}
		return
	}
	if p.possibleRuns+len(p.inFlight) >= c.Route.Attempts {
		return // The sends in flight use up the attempts of the route.
	}
	// After the first round the part goes to one replica at a time.
	roundEnded := p.lastRefused && p.refusals > 0 || c.allReplicasTried(p, now)
	if len(p.inFlight) == 0 && p.sendCount < maxSendsPerPart && roundEnded {
		if retryAt, ok := c.nextRound(p, now); ok {
			p.retryAt = retryAt
			return
		}
	}
	c.retryPart(index, now, step)
}

// nextRound returns when a part that all usable replicas have refused or failed is sent to them again. It
// reports false if none of them may take it in time.
func (c *CallState) nextRound(p *part, now time.Time) (time.Time, bool) {
	if !p.lastRefused && !c.gatherer.Selector.HasUsableReplica(c.gatherer.Deployment, p.pool, c.expectedLatency(now), now) {
		return time.Time{}, false
	}
	p.roundDelayEnd = now.Add(initialRetryDelay << p.refusals)
	p.refusals++
	return c.nextRoundAt(p, now)
}

// nextRoundAt returns when the next round of a part starts: when a replica takes calls, but not before
// roundDelayEnd. It reports false if that is too late.
func (c *CallState) nextRoundAt(p *part, now time.Time) (time.Time, bool) {
	retryAt := p.roundDelayEnd
	available, ok := c.gatherer.Selector.AvailableAt(c.gatherer.Deployment, p.pool, now)
	if available.After(retryAt) {
		retryAt = available
	}
	// A part without which the call fails is worth a late answer.
	last := c.SoftDeadline
	if len(c.parts)-c.failedParts-1 < c.requiredParts {
		last = c.HardDeadline.Add(-c.expectedLatency(now))
	}
	return retryAt, ok && retryAt.Before(last)
}

// retryPart sends a failed part again. A call that may crash replicas retries one part at a time
// and delays the other retries.
func (c *CallState) retryPart(index int, now time.Time, step *Step) {
	p := &c.parts[index]
	if c.holding() && now.Before(c.resumeAt) {
		p.retryAt, p.waitingForOther = c.resumeAt, true
		return
	}
	p.waitingForOther = c.brokenSends >= serialRetryThreshold && c.answeredParts == 0 && c.hasRepeatInFlight()
	if p.waitingForOther {
		p.retryAt = now.Add(c.crashCheckDelay(now))
		return
	}
	c.sendPart(index, wigeonspindle.SendRetry, now, step)
}

// crashCheckDelay returns the time after a broken connection in which the host finds out whether the
// replica has crashed.
func (c *CallState) crashCheckDelay(now time.Time) time.Duration {
	return max(c.expectedLatency(now)/2, minCrashCheckDelay)
}

// hasRepeatInFlight reports whether a retry or a hedge is in flight.
func (c *CallState) hasRepeatInFlight() bool {
	for i := range c.parts {
		for _, send := range c.parts[i].inFlight {
			if send.Kind != wigeonspindle.SendFirst {
				return true
			}
		}
	}
	return false
}

// budgetShareCount returns the number by which the slack of a pool's budget is divided to get the
// share of this host.
func (c *CallState) budgetShareCount() int {
	if !c.gatherer.Standby {
		return len(c.gatherer.Deployment.ServingPeers)
	}
	return standbySlackDivisor * max(len(c.gatherer.Deployment.Peers)-len(c.gatherer.Deployment.ServingPeers), 1)
}

// overloadSignal rates the result of a send from 0 for an answer in time to 1 for a refusal or a
// late answer.
func (c *CallState) overloadSignal(exchange wigeonspindle.Exchange) float64 {
	refused := exchange.Code == wigeonspindle.CodeOverloaded || exchange.Response != nil && exchange.Response.Refused
	switch {
	case refused || exchange.Response != nil && exchange.Took > c.Route.Aim:
		return 1
	case exchange.Took > time.Duration(nearLateFraction*float64(c.Route.Aim)):
		return nearLateSignal
	}
	return 0
}

// allReplicasTried reports whether a part has been sent to all usable replicas.
func (c *CallState) allReplicasTried(p *part, now time.Time) bool {
	_, ok := c.gatherer.Selector.Pick(c.gatherer.Deployment, p.pool, p.triedReplicas, c.expectedLatency(now), now)
	return !ok
}

func (c *CallState) failPart(p *part) {
	p.failed = true
	c.failedParts++
}

// hedgeTime returns when a part is hedged, or zero when it is not. While no part has been answered, there is one hedge in
// each expected latency: replicas of all shards that are late together may be about to crash.
func (c *CallState) hedgeTime(p *part, now time.Time) time.Time {
	if c.Route.Class == wigeonspindle.ClassOnce || len(p.inFlight) != 1 || p.refusals >= maxSendsPerPart ||
		p.possibleRuns+1 >= c.Route.Attempts || (c.onTrial() || c.brokenSends >= serialRetryThreshold) && c.answeredParts == 0 {
		return time.Time{}
	}
	if c.gatherer.Budget.Utilization(p.pool, c.budgetShareCount(), now) >= maxHedgeBudgetUse ||
		c.gatherer.Throttler.Pressure(p.pool, now) >= maxHedgePressure {
		return time.Time{}
	}
	expected := c.expectedLatency(now)
	at := p.inFlight[0].SentAt.Add(max(time.Duration(hedgeLatencyFactor*float64(expected)), minHedgeDelay))
	if next := c.hedgedAt.Add(expected); c.answeredParts == 0 && next.After(at) {
		return next
	}
	return at
}

func (p *part) removeInFlight(number int) {
	for i := range p.inFlight {
		if p.inFlight[i].Number == number {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			return
		}
	}
}
