package quarantiner

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// crashWindow is how long after the end of a send its target may still crash because of it. A target that
	// breaks a connection as it crashes refuses connections within a few milliseconds; one that answers first, or
	// works on after the host has given the send up, ends later.
	crashWindow = 2 * time.Second
	// maxAbandonedRun bounds the time for which a target is taken to work on a send that the host has given up.
	maxAbandonedRun = 10 * time.Second
	// maxFailedSends bounds the failed sends that are kept for each target, which runs only
	// a few requests at a time.
	maxFailedSends = 64
)

// CrashCorrelator attributes the end of a target to the sends that failed there shortly before, whatever the way in
// which they failed. A request that another target of the pool answers does not crash the targets of that pool.
type CrashCorrelator struct {
	Quarantiner *Quarantiner
	// SuspicionTTL is how long a suspicion lasts without a further crash.
	SuspicionTTL time.Duration
	// Host is the name of this host in the claims of trials.
	Host string

	failedSends map[string][]failedSend // failedSends holds those of each target, the oldest first.
	callCounts  map[Fingerprint]int     // callCounts counts the failed sends of each call by its first fingerprint.
	claims      map[string]trialClaim   // claims holds the unused trials that this host has claimed, by name.
}

// Isolation says how far the loss of a target is explained by the loss of others at the same time.
type Isolation uint8

// Isolations of a loss.
const (
	// Simultaneous losses are those of the first sends to several targets.
	Simultaneous Isolation = iota
	// SameShard losses are those of repeats while all targets that the call has lost are of one shard. They are isolated for
	// the call itself. The other calls of its path would lose them as well if the shard failed.
	SameShard
	// Isolated losses are those of sends that were made alone, or after the loss of targets of several shards.
	Isolated
)

// appliesTo reports whether a loss counts as an isolated one for a fingerprint.
func (i Isolation) appliesTo(fingerprint Fingerprint) bool {
	return i == Isolated || i == SameShard && !fingerprint.AnyQuery
}

// failedSend is a send that ended without success although the target may have run it.
type failedSend struct {
	fingerprints []Fingerprint // fingerprints are those of the call; the first identifies it.
	pool         string
	isolation    Isolation
	// abandoned reports that the host gave the send up, so that the target may still run it.
	abandoned bool
	// reachedSince reports that the target has accepted a connection or answered since the end of the send. It has
	// not crashed by then, but may do so later.
	reachedSince bool
	endedAt      time.Time
	until        time.Time // until is when an end of the target is no longer attributed to the send.
}

// RecordFailedSend records that a send ended without success although the target may have run it: with an answer
// that is no success, or with a connection that broke. It returns until when the end of the target would be attributed
// to the send.
func (c *CrashCorrelator) RecordFailedSend(fingerprints []Fingerprint, pool, target string, isolation Isolation, now time.Time) time.Time {
	return c.record(target, failedSend{fingerprints: fingerprints, pool: pool, isolation: isolation, endedAt: now, until: now.Add(crashWindow)})
}

// RecordAbandonedSend records that the host gave up a send that the target may run until its deadline. The other
// parameters and the result are those of RecordFailedSend.
func (c *CrashCorrelator) RecordAbandonedSend(fingerprints []Fingerprint, pool, target string, isolation Isolation, deadline, now time.Time) time.Time {
	run := min(max(deadline.Sub(now), 0), maxAbandonedRun)
	return c.record(target, failedSend{
		fingerprints: fingerprints, pool: pool, isolation: isolation, abandoned: true, endedAt: now, until: now.Add(run + crashWindow),
	})
}

func (c *CrashCorrelator) record(target string, send failedSend) time.Time {
	if c.failedSends == nil {
		c.failedSends, c.callCounts = make(map[string][]failedSend), make(map[Fingerprint]int)
	}
	c.retain(target, func(known failedSend) bool { return send.endedAt.Before(known.until) })
	if oldest := c.failedSends[target]; len(oldest) >= maxFailedSends {
		c.forget(oldest[0])
		c.failedSends[target] = oldest[1:]
	}
	c.failedSends[target] = append(c.failedSends[target], send)
	c.callCounts[send.fingerprints[0]]++
	return send.until
}

// retain forgets the failed sends to a target for which keep returns false.
func (c *CrashCorrelator) retain(target string, keep func(send failedSend) bool) {
	sends := c.failedSends[target]
	if len(sends) == 0 {
		return
	}
	kept := make([]failedSend, 0, len(sends))
	for _, send := range sends {
		if keep(send) {
			kept = append(kept, send)
		} else {
			c.forget(send)
		}
	}
	if c.failedSends[target] = kept; len(kept) == 0 {
		delete(c.failedSends, target)
	}
}

// forget takes a failed send out of callCounts.
func (c *CrashCorrelator) forget(send failedSend) {
	call := send.fingerprints[0]
	if c.callCounts[call]--; c.callCounts[call] == 0 {
		delete(c.callCounts, call)
	}
}

// RecordReachable records that a target accepted a connection or answered a request that was started
// at the given time; what was under way when the target crashed may still be reported after the crash. The target has
// not crashed because of the sends that had failed before that time, unless it ends while they are kept.
func (c *CrashCorrelator) RecordReachable(target string, started time.Time) {
	for i := range c.failedSends[target] {
		if send := &c.failedSends[target][i]; !send.endedAt.After(started) {
			send.reachedSince = true
		}
	}
}

// FailedSends returns the number of sends to a target that may be to blame if it has crashed now.
func (c *CrashCorrelator) FailedSends(target string, now time.Time) int {
	count := 0
	for _, send := range c.failedSends[target] {
		if now.Before(send.until) {
			count++
		}
	}
	return count
}

// RecordUnreachable records that a target accepts no connections, because it has crashed or the network has failed.
// It returns the suspicions against the requests that it ran last. Sends that the host gave up are no evidence
// then: in a network that is cut, none is answered.
func (c *CrashCorrelator) RecordUnreachable(target string, now time.Time) []wigeonspindle.Suspicion {
	return c.blame(target, now, func(send failedSend) bool { return !send.reachedSince && !send.abandoned })
}

// RecordEnded records that the process of a target has ended. It returns the suspicions against the requests that it
// ran last.
func (c *CrashCorrelator) RecordEnded(target string, now time.Time) []wigeonspindle.Suspicion {
	return c.blame(target, now, func(failedSend) bool { return true })
}

// blame returns the suspicions against those failed sends to a target that count as evidence, and forgets these.
func (c *CrashCorrelator) blame(target string, now time.Time, counts func(send failedSend) bool) []wigeonspindle.Suspicion {
	contents := make(map[Fingerprint]bool)
	suspects := make(map[Fingerprint]failedSend)
	c.retain(target, func(send failedSend) bool {
		if !now.Before(send.until) {
			return false
		}
		if !counts(send) {
			return true
		}
		contents[contentOf(send.fingerprints)] = true
		for _, fingerprint := range send.fingerprints {
			suspects[fingerprint] = send
		}
		return false
	})
	suspicions := make([]wigeonspindle.Suspicion, 0, len(suspects))
	for fingerprint, send := range suspects {
		if suspicion, added := c.Quarantiner.RecordCrash(fingerprint, send.pool, target, len(contents), send.isolation.appliesTo(fingerprint), c.SuspicionTTL, now); added {
			suspicions = append(suspicions, suspicion)
		}
	}
	return suspicions
}

// RecordAnswer records that a target of a pool answered a request. It returns the withdrawn
// suspicions to send to the other hosts.
func (c *CrashCorrelator) RecordAnswer(fingerprints []Fingerprint, pool, target string, now time.Time) []wigeonspindle.Suspicion {
	answered := func(send failedSend) bool {
		return send.pool == pool && slices.Contains(fingerprints, send.fingerprints[0])
	}
	if slices.ContainsFunc(fingerprints, func(fingerprint Fingerprint) bool { return c.callCounts[fingerprint] > 0 }) {
		for other := range c.failedSends {
			c.retain(other, func(send failedSend) bool { return !answered(send) })
		}
	}
	var withdrawn []wigeonspindle.Suspicion
	for _, fingerprint := range fingerprints {
		c.Quarantiner.RecordAnswer(fingerprint.Hash, pool, now)
		withdrawn = append(withdrawn, c.Quarantiner.RecordCompletion(fingerprint.Hash, pool, target, now)...)
	}
	return withdrawn
}

// QuarantinedUntil returns until when a call with these fingerprints is refused, or the zero time when
// it is not.
func (c *CrashCorrelator) QuarantinedUntil(fingerprints []Fingerprint, now time.Time) time.Time {
	var until time.Time
	for _, fingerprint := range fingerprints {
		if c.Quarantiner.State(fingerprint.Hash, now) != Quarantined {
			continue
		}
		if expiresAt := c.Quarantiner.ExpiresAt(fingerprint.Hash, now); expiresAt.After(until) {
			until = expiresAt
		}
	}
	return until
}

// RetainTargets forgets the failed sends of all targets except the given ones, and those that are too old.
func (c *CrashCorrelator) RetainTargets(targets map[string]bool, now time.Time) {
	for target := range c.failedSends {
		c.retain(target, func(send failedSend) bool { return targets[target] && now.Before(send.until) })
	}
}
