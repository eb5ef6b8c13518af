package gatherer

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

const (
	// closedPeriod is how long after replicas have closed idle connections searches are sent to one shard first. Hosts learn
	// of a call that crashes replicas within it.
	closedPeriod = time.Second
	// minClosedPools and a part of 1/closedPoolsDivisor of the shards of a search are the number of shards whose replicas
	// have closed idle connections from which it is sent to one shard first.
	minClosedPools     = 3
	closedPoolsDivisor = 4
)

// holdParts holds back all parts of a suspected call, so that advanceHeldParts sends one at a time
// until one is answered: a call over many shards would otherwise crash a replica of each of them.
// The parts of the pools whose replicas crashed are first in line.
func (c *CallState) holdParts(now time.Time) {
	if len(c.parts) == 1 {
		return
	}
	quarantine := c.gatherer.Correlator.Quarantiner
	suspectedPools := make(map[string]bool)
	for _, fingerprint := range c.fingerprints {
		if quarantine.State(fingerprint.Hash, now) == quarantiner.Clear {
			continue
		}
		for _, suspicion := range quarantine.SuspicionsOf(fingerprint.Hash, now) {
			suspectedPools[suspicion.Pool] = true
		}
		c.suspectedJustNow = c.suspectedJustNow || quarantine.JustCrashed(fingerprint.Hash, c.gatherer.Correlator.SuspicionTTL, now)
	}
	first := func(i int) bool { return suspectedPools[c.parts[i].pool] }
	if len(suspectedPools) == 0 {
		closed := c.recentlyClosed(now)
		if len(closed) < max(minClosedPools, len(c.parts)/closedPoolsDivisor) {
			return
		}
		first = func(i int) bool { return !closed[c.parts[i].pool] } // A shard without a loss bears one better.
	}
	var others []int
	for i := range c.parts {
		switch {
		case c.parts[i].failed:
		case first(i):
			c.heldParts = append(c.heldParts, i)
		default:
			others = append(others, i)
		}
	}
	c.heldParts = append(c.heldParts, others...)
}

// recentlyClosed returns the pools of the call with a replica that has just closed idle connections.
func (c *CallState) recentlyClosed(now time.Time) map[string]bool {
	if now.Sub(c.gatherer.lastClosedAt) >= closedPeriod {
		return nil // Spares calls over hundreds of shards the search.
	}
	closed := make(map[string]bool)
	for i := range c.parts {
		if at, ok := c.gatherer.closedAt[c.parts[i].pool]; ok && now.Sub(at) < closedPeriod {
			closed[c.parts[i].pool] = true
		}
	}
	return closed
}

// RecordIdleClosed records that a replica has closed an idle connection. Replicas that crash under a call do so at all
// hosts, long before these learn of the call.
func (g *Gatherer) RecordIdleClosed(replica *wigeonspindle.Replica, now time.Time) {
	if g.closedAt == nil {
		g.closedAt = make(map[string]time.Time)
	}
	g.closedAt[replica.Pool], g.lastClosedAt = now, now
}

// holding reports whether parts wait for the answer to another part.
func (c *CallState) holding() bool { return len(c.heldParts) > 0 }

// advanceHeldParts sends the held parts once a part has been answered. Until then it sends the next
// one when no other is undecided and the crash check of the last one has had its time, and drops them
// all when the call is quarantined meanwhile.
func (c *CallState) advanceHeldParts(now time.Time, step *Step) {
	advanced := false
	for c.holding() && (c.answeredParts > 0 || !now.Before(c.resumeAt) && !c.hasUndecidedSentPart()) {
		index := c.heldParts[0]
		c.heldParts = c.heldParts[1:]
		advanced = true
		if c.maySendHeld(now) {
			c.sendPart(index, wigeonspindle.SendFirst, now, step)
		} else {
			c.failPart(&c.parts[index])
		}
	}
	if advanced {
		c.nextTick = c.computeNextTick(now)
	}
}

// maySendHeld reports whether a held part may be sent.
func (c *CallState) maySendHeld(now time.Time) bool {
	if c.onTrial() {
		return c.answeredParts > 0 || !c.mayHaveRun
	}
	return c.gatherer.Correlator.QuarantinedUntil(c.fingerprints, now).IsZero()
}

// onTrial reports whether the call was quarantined when it was sent.
func (c *CallState) onTrial() bool { return len(c.Trials) > 0 }

// endTrial returns the trials of a call that no replica can have run.
func (c *CallState) endTrial(now time.Time) {
	running := slices.ContainsFunc(c.parts, func(p part) bool { return len(p.inFlight) > 0 })
	if c.onTrial() && !c.mayHaveRun && !running {
		c.gatherer.Correlator.ReturnTrials(c.Trials, now)
	}
}

// hasUndecidedSentPart reports whether a part that is not held has neither been answered nor failed.
func (c *CallState) hasUndecidedSentPart() bool {
	for i := range c.parts {
		if p := &c.parts[i]; p.response == nil && !p.failed && !slices.Contains(c.heldParts, i) {
			return true
		}
	}
	return false
}
