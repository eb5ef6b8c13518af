package quarantiner

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// crashWindow is how long after a broken connection an unreachable target counts as crashed:
	// about the time in which a host finds that the target no longer listens.
	crashWindow = 2 * time.Second
	// maxBrokenRequests bounds the broken requests that are kept for each target, which runs only
	// a few requests at a time.
	maxBrokenRequests = 64
)

// Fingerprints returns hashes of the parts of a call that stay the same when it is repeated: its
// caller, method, authority, request URI and body. A call with a query has a second fingerprint
// without it, because a repeated call may carry another query; where the query makes the difference,
// answers to other calls on the same path withdraw the suspicions against that one.
func Fingerprints(call *wigeonspindle.Call) []uint64 {
	fingerprints := []uint64{fingerprint(call, call.RequestURI)}
	if path, _, ok := strings.Cut(call.RequestURI, "?"); ok {
		fingerprints = append(fingerprints, fingerprint(call, path))
	}
	return fingerprints
}

func fingerprint(call *wigeonspindle.Call, uri string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{call.Caller, call.Method, call.Authority, uri} {
		_, _ = digest.WriteString(part) // The digest never returns an error.
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}

// CrashCorrelator attributes the crash of a target to the requests whose connection broke shortly
// before the target became unreachable. A target that still answers has not crashed, and a
// request that another target of the pool answers does not crash the targets of that pool.
type CrashCorrelator struct {
	Quarantiner *Quarantiner
	// SuspicionTTL is how long a suspicion lasts without a further crash.
	SuspicionTTL time.Duration

	brokenRequests map[string][]brokenRequest // brokenRequests holds the requests of each target, the oldest first.
}

// brokenRequest is a request whose connection broke before the response.
type brokenRequest struct {
	fingerprints []uint64 // fingerprints are those of the call; the first identifies it.
	pool         string
	isolated     bool
	brokenAt     time.Time
}

// RecordBrokenConnection records that the connection to a target broke while it ran a request.
// Isolated means that the request has only one part or that this part was sent again, so that
// its loss is not explained by the simultaneous loss of several targets.
func (c *CrashCorrelator) RecordBrokenConnection(fingerprints []uint64, pool, target string, isolated bool, now time.Time) {
	if c.brokenRequests == nil {
		c.brokenRequests = make(map[string][]brokenRequest)
	}
	requests := c.brokenRequests[target]
	for len(requests) > 0 && (len(requests) >= maxBrokenRequests || now.Sub(requests[0].brokenAt) > crashWindow) {
		requests = requests[1:]
	}
	c.brokenRequests[target] = append(requests, brokenRequest{fingerprints: fingerprints, pool: pool, isolated: isolated, brokenAt: now})
}

// RecordReachable records that a target accepted a connection or answered a request that was started
// at the given time. It clears the requests that broke before that time; what was under way when the
// target crashed may still be reported after the crash.
func (c *CrashCorrelator) RecordReachable(target string, started time.Time) {
	kept := c.brokenRequests[target]
	for len(kept) > 0 && !kept[0].brokenAt.After(started) {
		kept = kept[1:]
	}
	if len(kept) == 0 {
		delete(c.brokenRequests, target)
		return
	}
	c.brokenRequests[target] = kept
}

// FailedSends returns the number of sends to a target that may be to blame if it has crashed now.
func (c *CrashCorrelator) FailedSends(target string, now time.Time) int {
	count := 0
	for _, request := range c.brokenRequests[target] {
		if now.Sub(request.brokenAt) <= crashWindow {
			count++
		}
	}
	return count
}

// RecordUnreachable records that a target accepts no connections. It returns the suspicions
// against the requests that the target ran last.
func (c *CrashCorrelator) RecordUnreachable(target string, now time.Time) []wigeonspindle.Suspicion {
	requests := c.brokenRequests[target]
	delete(c.brokenRequests, target)
	calls := make(map[uint64]bool)
	suspects := make(map[uint64]brokenRequest)
	for _, request := range requests {
		if now.Sub(request.brokenAt) > crashWindow {
			continue
		}
		calls[request.fingerprints[0]] = true
		for _, fingerprint := range request.fingerprints {
			suspects[fingerprint] = request
		}
	}
	suspicions := make([]wigeonspindle.Suspicion, 0, len(suspects))
	for fingerprint, request := range suspects {
		if suspicion, added := c.Quarantiner.RecordCrash(fingerprint, request.pool, target, len(calls), request.isolated, c.SuspicionTTL, now); added {
			suspicions = append(suspicions, suspicion)
		}
	}
	return suspicions
}

// RecordAnswer records that a target of a pool answered a request. It returns the withdrawn
// suspicions to send to the other hosts.
func (c *CrashCorrelator) RecordAnswer(fingerprints []uint64, pool, target string, now time.Time) []wigeonspindle.Suspicion {
	for other, requests := range c.brokenRequests {
		kept := requests[:0]
		for _, request := range requests {
			if request.pool != pool || !slices.Contains(fingerprints, request.fingerprints[0]) {
				kept = append(kept, request)
			}
		}
		if c.brokenRequests[other] = kept; len(kept) == 0 {
			delete(c.brokenRequests, other)
		}
	}
	var withdrawn []wigeonspindle.Suspicion
	for _, fingerprint := range fingerprints {
		withdrawn = append(withdrawn, c.Quarantiner.RecordCompletion(fingerprint, pool, target, now)...)
	}
	return withdrawn
}

// QuarantinedUntil returns until when a call with these fingerprints is refused, or the zero time when
// it is not.
func (c *CrashCorrelator) QuarantinedUntil(fingerprints []uint64, now time.Time) time.Time {
	var until time.Time
	for _, fingerprint := range fingerprints {
		if c.Quarantiner.State(fingerprint, now) != Quarantined {
			continue
		}
		if expiresAt := c.Quarantiner.ExpiresAt(fingerprint, now); expiresAt.After(until) {
			until = expiresAt
		}
	}
	return until
}

// RetainTargets deletes the broken requests of all targets except the given ones.
func (c *CrashCorrelator) RetainTargets(targets map[string]bool) {
	for target := range c.brokenRequests {
		if !targets[target] {
			delete(c.brokenRequests, target)
		}
	}
}
