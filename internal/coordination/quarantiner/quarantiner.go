// Package quarantiner identifies requests that crash targets and quarantines them for a
// limited time. Methods take the current time as an argument, so that a recorded trace replays
// exactly.
package quarantiner

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// ScoreThreshold is the score at which a fingerprint is quarantined. It equals two crashes that
	// each had one isolated attempt in flight, so that a target that fails for another reason does
	// not quarantine a request.
	ScoreThreshold = 2
	// crashThreshold is the number of crashes at which a fingerprint is quarantined whatever else was
	// lost with it. Requests that only ran beside a crashing one are answered between two crashes.
	crashThreshold = 4
	// commonCausePeriod is the time within which the crashes of a wide fingerprint count as one: a
	// rack or a failure domain that stops ends many replicas at once, and a call that many callers make runs on several of
	// them. It equals the time for which a suspicion waits for an answer before it is reported.
	commonCausePeriod = 500 * time.Millisecond
	// maxCrashes bounds the crashes that are kept for a fingerprint. More add nothing once it is
	// quarantined.
	maxCrashes = 16
	// successRotationPeriod is the minimum time for which a success is kept while the table has room.
	successRotationPeriod = 10 * time.Minute
	// answerPeriod is how long before a crash an answer of the same pool shows that a fingerprint is not to blame. It is
	// shorter than the 4 s after the third crash of a call in which further crashes are tolerated, because calls that
	// were answered may begin to crash targets.
	answerPeriod = 2 * time.Second
	// minAnswers bounds the answers that are kept within answerPeriod, each of one fingerprint and pool.
	minAnswers = 8192
)

// State is the state of a fingerprint.
type State uint8

// States of a fingerprint.
const (
	Clear       State = iota // Clear fingerprints have no score.
	Suspect                  // Suspect fingerprints run on a target without other attempts.
	Quarantined              // Quarantined fingerprints are refused.
)

// Quarantiner holds the suspect and quarantined fingerprints of a cell and those that succeeded
// lately.
type Quarantiner struct {
	// MaxSuspects bounds the suspect and quarantined fingerprints. Of the recent successes at
	// least the latest MinSuccesses and at most twice as many are kept.
	MaxSuspects, MinSuccesses int

	suspects   map[uint64][]wigeonspindle.Suspicion // suspects holds the crashes of each fingerprint, the oldest first.
	shared     map[string]bool                      // shared holds the names of the suspicions of the last Sync.
	trials     map[uint64][]wigeonspindle.Suspicion // trials holds the claimed trials of each fingerprint in the last Sync.
	lastNumber uint64                               // lastNumber is the last result of nextNumber.
	successes  recency[uint64]
	answers    recency[answerKey]
}

// answerKey names the answers of a pool to the calls with a fingerprint.
type answerKey struct {
	fingerprint uint64
	pool        string
}

// RecordCrash records a crash, whose weight is divided by the number of attempts that were in
// flight. It returns the suspicion to send to the other hosts, and false when the crash adds nothing: a fingerprint
// that the pool has just answered is not to blame, while a more specific one of the same call may be.
// Attempts that were not isolated make a fingerprint at most suspect: when a failure domain stops, a
// query of many shards loses many attempts at once.
func (q *Quarantiner) RecordCrash(fingerprint Fingerprint, pool, target string, concurrentAttempts int, isolated bool, ttl time.Duration, now time.Time) (wigeonspindle.Suspicion, bool) {
	q.successes.forget(fingerprint.Hash)
	if q.recentlyAnswered(fingerprint.Hash, pool, now) {
		return wigeonspindle.Suspicion{}, false
	}
	suspicion := wigeonspindle.Suspicion{
		Fingerprint: fingerprint.Hash, Score: 1 / float64(max(concurrentAttempts, 1)),
		Pool: pool, Target: target, Expires: now.Add(ttl), Simultaneous: !isolated, Wide: fingerprint.Wide,
	}
	known := q.lookup(fingerprint.Hash, now)
	quarantined := score(known) >= ScoreThreshold
	for _, earlier := range known {
		if covers(earlier, suspicion, quarantined) {
			return earlier, false
		}
	}
	suspicion.Crash = fmt.Sprintf("%s-%x", target, q.nextNumber(now))
	q.store(suspicion, now)
	return suspicion, true
}

// covers reports whether a crash adds nothing to an earlier one. A call that is lost with all targets of a service would
// otherwise evict the other evidence against it, and fill the queue of reports.
func covers(earlier, crash wigeonspindle.Suspicion, quarantined bool) bool {
	if crash.Simultaneous {
		return earlier.Simultaneous
	}
	sameMoment := crash.Expires.Sub(earlier.Expires) < commonCausePeriod
	return sameMoment && !earlier.Simultaneous && earlier.Score >= crash.Score && (earlier.Wide && crash.Wide || quarantined)
}

// nextNumber returns a number that no other crash or trial of this host has, nor one of an earlier run of it.
func (q *Quarantiner) nextNumber(now time.Time) uint64 {
	if q.lastNumber == 0 {
		q.lastNumber = uint64(now.UnixNano())
	}
	q.lastNumber++
	return q.lastNumber
}

// Merge applies a suspicion of another host, which may arrive any number of times. A quarantined
// fingerprint is cleared only if it may end.
func (q *Quarantiner) Merge(received wigeonspindle.Suspicion, now time.Time) {
	known := q.lookup(received.Fingerprint, now)
	index := slices.IndexFunc(known, func(s wigeonspindle.Suspicion) bool { return s.Crash == received.Crash })
	switch {
	case received.Cleared:
		if index >= 0 && (score(known) < ScoreThreshold || q.mayEnd(received.Fingerprint, known)) {
			q.remove(received.Fingerprint, index)
		}
	case index < 0 && received.Score > 0 && now.Before(received.Expires):
		received.Score = min(received.Score, 1) // One crash is never more evidence than a crash alone.
		q.store(received, now)
	}
}

// Sync applies the suspicions that the registry holds now. Those that it held before and no longer
// holds are withdrawn. One that this host has withdrawn does not return while the registry still
// holds it. Sync returns those that answers at this host refute, to be withdrawn at the other hosts.
func (q *Quarantiner) Sync(held []wigeonspindle.Suspicion, now time.Time) []wigeonspindle.Suspicion {
	var refuted []wigeonspindle.Suspicion
	shared := make(map[string]bool, len(held))
	trials := make(map[uint64][]wigeonspindle.Suspicion)
	for _, suspicion := range held {
		name := suspicion.Name()
		shared[name] = true
		switch {
		case suspicion.Trial():
			trials[suspicion.Fingerprint] = append(trials[suspicion.Fingerprint], suspicion)
		case q.shared[name]:
		case q.recentlyAnswered(suspicion.Fingerprint, suspicion.Pool, now):
			suspicion.Cleared = true
			refuted = append(refuted, suspicion)
		default:
			q.Merge(suspicion, now)
		}
	}
	for _, suspicion := range q.Suspicions(now) {
		if name := suspicion.Name(); q.shared[name] && !shared[name] {
			suspicion.Cleared = true
			q.Merge(suspicion, now)
		}
	}
	q.shared, q.trials = shared, trials
	return refuted
}

// RecordCompletion withdraws the suspicions against a fingerprint whose request completed on
// a target of their pool while no other attempt ran there. It returns them, to be sent to the other
// hosts, with the trials of a fingerprint that is clear then. A quarantined fingerprint is cleared only if it may end.
func (q *Quarantiner) RecordCompletion(fingerprint uint64, pool, target string, now time.Time) []wigeonspindle.Suspicion {
	switch q.State(fingerprint, now) {
	case Clear:
		return nil
	case Quarantined:
		if !q.mayEnd(fingerprint, q.suspects[fingerprint]) {
			return nil
		}
	}
	var withdrawn, kept []wigeonspindle.Suspicion
	for _, suspicion := range q.suspects[fingerprint] {
		if suspicion.Pool != pool {
			kept = append(kept, suspicion)
			continue
		}
		suspicion.Cleared, suspicion.Score, suspicion.Target = true, 0, target
		withdrawn = append(withdrawn, suspicion)
	}
	if q.suspects[fingerprint] = kept; len(kept) == 0 {
		delete(q.suspects, fingerprint)
		for _, trial := range q.trials[fingerprint] {
			trial.Cleared = true
			withdrawn = append(withdrawn, trial)
		}
	}
	return withdrawn
}

// mayEnd reports whether an answer ends the quarantine of a fingerprint: it does where the fingerprint is of different
// calls, or where the hosts let a call through to find out.
func (q *Quarantiner) mayEnd(fingerprint uint64, crashes []wigeonspindle.Suspicion) bool {
	return len(q.trials[fingerprint]) > 0 || allWide(crashes)
}

func allWide(crashes []wigeonspindle.Suspicion) bool {
	return !slices.ContainsFunc(crashes, func(s wigeonspindle.Suspicion) bool { return !s.Wide })
}

// State returns the current state of a fingerprint.
func (q *Quarantiner) State(fingerprint uint64, now time.Time) State {
	switch total := q.Score(fingerprint, now); {
	case total >= ScoreThreshold:
		return Quarantined
	case total > 0:
		return Suspect
	}
	return Clear
}

// Score returns the evidence against a fingerprint. ScoreThreshold or more quarantines it.
func (q *Quarantiner) Score(fingerprint uint64, now time.Time) float64 {
	if len(q.suspects) == 0 {
		return 0
	}
	return score(q.lookup(fingerprint, now))
}

// JustCrashed reports whether the last crash of a fingerprint may have the same cause as one now.
func (q *Quarantiner) JustCrashed(fingerprint uint64, ttl time.Duration, now time.Time) bool {
	last := q.ExpiresAt(fingerprint, now)
	return !last.IsZero() && now.Sub(last.Add(-ttl)) < commonCausePeriod
}

// Holds reports whether a suspicion has neither expired nor been withdrawn.
func (q *Quarantiner) Holds(suspicion wigeonspindle.Suspicion, now time.Time) bool {
	return slices.ContainsFunc(q.lookup(suspicion.Fingerprint, now), func(known wigeonspindle.Suspicion) bool {
		return known.Crash == suspicion.Crash
	})
}

// ExpiresAt returns when the last suspicion against a fingerprint expires, or the zero time when
// there is none.
func (q *Quarantiner) ExpiresAt(fingerprint uint64, now time.Time) time.Time {
	var last time.Time
	for _, known := range q.lookup(fingerprint, now) {
		if known.Expires.After(last) {
			last = known.Expires
		}
	}
	return last
}

// RecordSuccess records that a target answered a request.
func (q *Quarantiner) RecordSuccess(fingerprint uint64, now time.Time) {
	q.successes.record(fingerprint, q.MinSuccesses, successRotationPeriod, now)
}

// RecentlySucceeded reports whether a success of the fingerprint is still kept.
func (q *Quarantiner) RecentlySucceeded(fingerprint uint64) bool {
	return !q.successes.last(fingerprint).IsZero()
}

// RecordAnswer records that a target of a pool answered a request, as evidence that later crashes there have another
// cause.
func (q *Quarantiner) RecordAnswer(fingerprint uint64, pool string, now time.Time) {
	q.answers.record(answerKey{fingerprint, pool}, minAnswers, answerPeriod, now)
}

func (q *Quarantiner) recentlyAnswered(fingerprint uint64, pool string, now time.Time) bool {
	last := q.answers.last(answerKey{fingerprint, pool})
	return !last.IsZero() && now.Sub(last) < answerPeriod
}

// Suspicions returns the unexpired suspicions, to be sent to a host that was unreachable.
func (q *Quarantiner) Suspicions(now time.Time) []wigeonspindle.Suspicion {
	var suspicions []wigeonspindle.Suspicion
	for fingerprint := range q.suspects {
		suspicions = append(suspicions, q.SuspicionsOf(fingerprint, now)...)
	}
	return suspicions
}

// SuspicionsOf returns the unexpired suspicions against a fingerprint.
func (q *Quarantiner) SuspicionsOf(fingerprint uint64, now time.Time) []wigeonspindle.Suspicion {
	return slices.Clone(q.lookup(fingerprint, now))
}

// Len returns the number of suspect and quarantined fingerprints.
func (q *Quarantiner) Len() int { return len(q.suspects) }

// score returns the evidence of several crashes: the sum of their weights, and at least
// ScoreThreshold for crashThreshold crashes. Simultaneous ones count as one, with the largest of
// their weights, and so do those of a wide fingerprint that may have one cause.
func score(crashes []wigeonspindle.Suspicion) float64 {
	total, simultaneous, count := 0.0, 0.0, 0
	var wide []wigeonspindle.Suspicion
	for _, known := range crashes {
		switch {
		case known.Simultaneous:
			simultaneous = max(simultaneous, known.Score)
		case known.Wide:
			wide = append(wide, known)
		default:
			total += known.Score
			count++
		}
	}
	for _, moment := range moments(wide) {
		total += moment.Score
		count++
	}
	if simultaneous > 0 {
		total += simultaneous
		count++
	}
	const rounding = 1e-9 // Absorbs rounding of the fractions.
	if total >= ScoreThreshold-rounding || count >= crashThreshold {
		return max(total, ScoreThreshold)
	}
	return total
}

// moments combines crashes that may have one cause: each result has the largest weight of its crashes.
func moments(crashes []wigeonspindle.Suspicion) []wigeonspindle.Suspicion {
	// All suspicions are valid for the same time, so they expire in the order of the crashes.
	slices.SortFunc(crashes, func(a, b wigeonspindle.Suspicion) int { return a.Expires.Compare(b.Expires) })
	var combined []wigeonspindle.Suspicion
	for _, crash := range crashes {
		last := len(combined) - 1
		if last < 0 || crash.Expires.Sub(combined[last].Expires) >= commonCausePeriod {
			combined = append(combined, crash)
			continue
		}
		combined[last].Score = max(combined[last].Score, crash.Score)
	}
	return combined
}

// lookup returns the unexpired crashes of a fingerprint.
func (q *Quarantiner) lookup(fingerprint uint64, now time.Time) []wigeonspindle.Suspicion {
	known, ok := q.suspects[fingerprint]
	if !ok {
		return nil
	}
	known = slices.DeleteFunc(known, func(s wigeonspindle.Suspicion) bool { return !now.Before(s.Expires) })
	if len(known) == 0 {
		delete(q.suspects, fingerprint)
		return nil
	}
	q.suspects[fingerprint] = known
	return known
}

// store adds a crash. A full table evicts the fingerprint with the lowest score, so quarantined
// fingerprints are evicted only when there are no others.
func (q *Quarantiner) store(suspicion wigeonspindle.Suspicion, now time.Time) {
	if q.suspects == nil {
		q.suspects = make(map[uint64][]wigeonspindle.Suspicion)
	}
	known, ok := q.suspects[suspicion.Fingerprint]
	if !ok && len(q.suspects) >= q.MaxSuspects {
		q.evict(now)
	}
	if len(known) >= maxCrashes {
		known = slices.Delete(known, 0, 1)
	}
	q.suspects[suspicion.Fingerprint] = append(known, suspicion)
}

func (q *Quarantiner) remove(fingerprint uint64, index int) {
	known := slices.Delete(q.suspects[fingerprint], index, index+1)
	if q.suspects[fingerprint] = known; len(known) == 0 {
		delete(q.suspects, fingerprint)
	}
}

func (q *Quarantiner) evict(now time.Time) {
	var victim uint64
	lowest := math.Inf(1)
	for fingerprint, crashes := range q.suspects {
		total := 0.0
		if now.Before(crashes[len(crashes)-1].Expires) {
			total = score(crashes)
		}
		if total < lowest || total == lowest && fingerprint < victim {
			victim, lowest = fingerprint, total
		}
	}
	delete(q.suspects, victim)
}
