// Package throttler limits the calls that a host admits while replicas are overloaded. A call
// over many shards fails when a few of its parts are refused, and the work of the other parts
// is wasted: at twice the capacity of the replicas, hardly any call would succeed. Each host
// therefore lowers its ratio of admitted calls until the parts of these calls succeed. Hosts
// do not coordinate; all of them observe the refusals of the same replicas.
package throttler

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// halfLife is the time in which the pressure of a pool halves without new samples. At the
	// usual load, a host makes about ten sends to a pool in this time.
	halfLife = 400 * time.Millisecond
	// pressureThreshold is the pressure above which calls are throttled. Pauses of single
	// replicas stay well below it.
	pressureThreshold = 0.4
	// queueFraction is the expected time in a queue, as a fraction of the longest latency objective of
	// the calls to the same pools, above which calls are refused.
	queueFraction = 0.4
	// maxQueueFraction is the same as a fraction of the call's own objective.
	maxQueueFraction = 0.8
	// decreaseRate is the exponential rate, per second, at which admitRatio falls at pressure 1.
	decreaseRate = 4.0
	// increaseRate is the linear rate, per second, at which admitRatio rises at pressure 0.
	increaseRate = 0.5
	// minAdmitRatio is the lower bound of admitRatio. The calls that are still admitted detect
	// the end of an overload.
	minAdmitRatio = 0.05
	// maxElapsed caps the time since the last update that counts for a change of admitRatio.
	maxElapsed = 200 * time.Millisecond
)

// Throttler holds the observations of one host. It is not safe for concurrent use.
type Throttler struct {
	Random *rand.Rand

	pools      map[string]*poolState
	groups     map[string]*group // groups is keyed by the first pool of the calls.
	sortBuffer []float64
}

// poolState is what the host has observed about one pool.
type poolState struct {
	pressure  float64 // pressure is the moving average of the samples.
	updated   time.Time
	sendRatio admitRatio // sendRatio is the ratio of the calls that are sent to the pool.
}

// admitRatio is the ratio of calls that are let through, from minAdmitRatio to 1.
type admitRatio struct {
	value   float64
	updated time.Time
}

// group is the state of the calls that go to the same pools.
type group struct {
	admitRatio admitRatio
	longestAim time.Duration // longestAim is the longest latency objective of the calls.
	maxMissing int           // maxMissing is the minimum of maxMissing over the calls of the group.
}

// Observe adds a sample of the pressure on a pool: 0 for an answer in time, 1 for a refusal or
// a late answer, and a value in between for an answer that was nearly late.
func (t *Throttler) Observe(pool string, sample float64, now time.Time) {
	if t.pools == nil {
		t.pools = make(map[string]*poolState)
	}
	p, ok := t.pools[pool]
	if !ok {
		t.pools[pool] = &poolState{pressure: sample * sampleWeight, updated: now, sendRatio: admitRatio{value: 1, updated: now}}
		return
	}
	p.decay(now)
	p.pressure += sampleWeight * (sample - p.pressure)
}

// sampleWeight is the weight of a new sample in the moving average.
const sampleWeight = 0.1

// Pressure returns the pressure of a pool, from 0 to 1.
func (t *Throttler) Pressure(pool string, now time.Time) float64 {
	p, ok := t.pools[pool]
	if !ok {
		return 0
	}
	p.decay(now)
	return p.pressure
}

// Admit reports whether a call that needs answers from all but maxMissing of the pools is
// admitted. Calls to the same pools share one ratio regardless of their maxMissing; otherwise
// less urgent calls, which may miss more, would be admitted more often than urgent ones.
func (t *Throttler) Admit(pools []string, maxMissing int, now time.Time) bool {
	g := t.group(pools, maxMissing, now)
	g.admitRatio.adjust(t.decisivePressure(pools, g.maxMissing, now), now)
	return g.admitRatio.value >= 1 || t.Random.Float64() < g.admitRatio.value
}

// AdmitQueued reports whether a call is admitted given the expected time in the queue of each of its pools. It
// compares the pool that decides whether the call succeeds in time. Calls to the same pools share one limit,
// which keeps the queues long enough for the replicas never to be idle; a call with a short objective has a
// lower one, because it would be late.
func (t *Throttler) AdmitQueued(pools []string, waits []time.Duration, maxMissing int, aim time.Duration, now time.Time) bool {
	g := t.group(pools, maxMissing, now)
	g.longestAim = max(g.longestAim, aim)
	limit := min(queueFraction*float64(g.longestAim), maxQueueFraction*float64(aim))
	slices.Sort(waits)
	return float64(waits[len(waits)-1-g.maxMissing]) <= limit
}

// group returns the state of the calls to the same pools.
func (t *Throttler) group(pools []string, maxMissing int, now time.Time) *group {
	if t.groups == nil {
		t.groups = make(map[string]*group)
	}
	g, ok := t.groups[pools[0]]
	if !ok {
		g = &group{admitRatio: admitRatio{value: 1, updated: now}, maxMissing: maxMissing}
		t.groups[pools[0]] = g
	}
	g.maxMissing = min(g.maxMissing, maxMissing, len(pools)-1)
	return g
}

// SkipPools returns the indexes of the pools to which a call is not sent, at most maxMissing.
// When a few shards have capacity for only a part of the calls, each call skips some of them,
// so that the others answer in time. If every call used all of these shards, their answers
// would be late for every call.
func (t *Throttler) SkipPools(pools []string, maxMissing int, now time.Time) []int {
	var skipped []int
	for i, pool := range pools {
		p, ok := t.pools[pool]
		if !ok {
			continue
		}
		p.decay(now)
		p.sendRatio.adjust(p.pressure, now)
		if p.sendRatio.value < 1 && t.Random.Float64() >= p.sendRatio.value {
			skipped = append(skipped, i)
		}
	}
	t.Random.Shuffle(len(skipped), func(i, j int) { skipped[i], skipped[j] = skipped[j], skipped[i] })
	return skipped[:min(len(skipped), maxMissing)]
}

// decisivePressure returns the pressure of the pool that decides whether a call succeeds: the
// highest one after leaving out the maxMissing pools with the most pressure.
func (t *Throttler) decisivePressure(pools []string, maxMissing int, now time.Time) float64 {
	t.sortBuffer = t.sortBuffer[:0]
	for _, pool := range pools {
		t.sortBuffer = append(t.sortBuffer, t.Pressure(pool, now))
	}
	slices.Sort(t.sortBuffer)
	return t.sortBuffer[len(t.sortBuffer)-1-maxMissing]
}

// Prune removes the state of pools that are no longer in use.
func (t *Throttler) Prune(inUse func(pool string) bool) {
	for pool := range t.pools {
		if !inUse(pool) {
			delete(t.pools, pool)
		}
	}
	for pool := range t.groups {
		if !inUse(pool) {
			delete(t.groups, pool)
		}
	}
}

// adjust lowers the ratio while the pressure is above the threshold and raises it otherwise.
func (r *admitRatio) adjust(pressure float64, now time.Time) {
	elapsed := min(now.Sub(r.updated), maxElapsed).Seconds()
	r.updated = now
	if pressure > pressureThreshold {
		excess := (pressure - pressureThreshold) / (1 - pressureThreshold)
		r.value = max(r.value*math.Exp(-decreaseRate*excess*elapsed), minAdmitRatio)
		return
	}
	r.value = min(r.value+increaseRate*elapsed*(1-pressure/pressureThreshold), 1)
}

// decay reduces the pressure exponentially by the time since the last update.
func (p *poolState) decay(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.pressure *= math.Exp2(-float64(elapsed) / float64(halfLife))
		p.updated = now
	}
}
