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
	waitingForOther  bool      // waitingForOther reports that the retry waits for the retry of another part.
	failed           bool
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
	expected := c.expectedLatency(now)
	replica, ok := c.gatherer.Selector.Pick(c.Deployment, p.pool, p.triedReplicas, expected, now)
	if p.sendCount > 0 && !c.gatherer.Correlator.QuarantinedUntil(c.fingerprints, now).IsZero() {
		ok = false
	}
	if ok && p.sendCount > 0 && (p.possibleArrivals > 0 || len(p.inFlight) > 0) {
		ok = p.sendCount < maxSendsPerPart && c.gatherer.Budget.AllowRepeat(p.pool, c.budgetShareCount(), now)
	}
	if !ok {
		if kind == wigeonspindle.SendHedge {
			p.refusals = maxSendsPerPart // The part is not hedged again.
			return
		}
		if len(p.inFlight) == 0 && p.retryAt.IsZero() {
			c.failPart(p)
		}
		return
	}
	send := Send{PartIndex: index, Number: p.sendCount, Kind: kind, Replica: replica, SentAt: now, ExpectedLatency: expected}
	p.sendCount++
	p.triedReplicas = append(p.triedReplicas, replica.ID)
	send.Probe = c.gatherer.Selector.RecordSend(replica, now)
	p.inFlight = append(p.inFlight, send)
	switch kind {
	case wigeonspindle.SendHedge:
		c.Hedges++
	case wigeonspindle.SendRetry:
		c.Retries++
	}
	step.Sends = append(step.Sends, send)
}

// handleFailedSend retries a part after a failed send, schedules the retry or fails the part.
func (c *CallState) handleFailedSend(index int, now time.Time, step *Step) {
	p := &c.parts[index]
	if p.possibleRuns > 0 && (c.Route.Class == wigeonspindle.ClassOnce || p.possibleRuns >= c.Route.Attempts) {
		if len(p.inFlight) == 0 {
			c.failPart(p)
		}
		return
	}
	if p.possibleRuns+len(p.inFlight) >= c.Route.Attempts {
		return // The sends in flight use up the attempts of the route.
	}
	if p.lastRefused && p.sendCount < maxSendsPerPart && len(p.inFlight) == 0 && c.allReplicasTried(p, now) {
		retryAt := now.Add(initialRetryDelay << p.refusals)
		p.refusals++
		available, ok := c.gatherer.Selector.AvailableAt(c.Deployment, p.pool, now)
		if available.After(retryAt) {
			retryAt = available
		}
		if ok && retryAt.Before(c.SoftDeadline) {
			p.retryAt = retryAt
			return
		}
	}
	c.retryPart(index, now, step)
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
		return len(c.Deployment.ServingPeers)
	}
	return standbySlackDivisor * max(len(c.Deployment.Peers)-len(c.Deployment.ServingPeers), 1)
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
	_, ok := c.gatherer.Selector.Pick(c.Deployment, p.pool, p.triedReplicas, c.expectedLatency(now), now)
	return !ok
}

func (c *CallState) failPart(p *part) {
	p.failed = true
	c.failedParts++
}

// hedgeTime returns when a part is hedged, or zero when it is not.
func (c *CallState) hedgeTime(p *part, now time.Time) time.Time {
	if c.Route.Class == wigeonspindle.ClassOnce || len(p.inFlight) != 1 || p.refusals >= maxSendsPerPart ||
		p.possibleRuns+1 >= c.Route.Attempts || c.brokenSends >= serialRetryThreshold && c.answeredParts == 0 {
		return time.Time{}
	}
	if c.gatherer.Budget.Utilization(p.pool, c.budgetShareCount(), now) >= maxHedgeBudgetUse ||
		c.gatherer.Throttler.Pressure(p.pool, now) >= maxHedgePressure {
		return time.Time{}
	}
	delay := max(time.Duration(hedgeLatencyFactor*float64(c.expectedLatency(now))), minHedgeDelay)
	return p.inFlight[0].SentAt.Add(delay)
}

func (p *part) removeInFlight(number int) {
	for i := range p.inFlight {
		if p.inFlight[i].Number == number {
			p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
			return
		}
	}
}
