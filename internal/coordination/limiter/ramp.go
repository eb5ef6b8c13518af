package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// floorLevel is the lowest level. It corresponds to the rate in the inventory, and level 1 to
	// 32 times that rate, so that a level has the same meaning for another owner, which does not
	// know the speed of the target.
	floorLevel = 1.0 / 32
	// maxColdLevel is the highest level of a target that is not warm yet.
	maxColdLevel = 0.99
	// growthFactor is the factor by which the level, or the warm median of a target that became
	// slower, rises in one step.
	growthFactor = 1.25
	// growthPeriod determines when the level rises: after as many completions as there are starts
	// in this time at the present rate.
	growthPeriod = 200 * time.Millisecond
	// singleSlotBelow is the relative rate below which only one attempt may be in flight.
	singleSlotBelow = 0.5
	// slowFactor and slowLimit detect a target that became cold again: slowLimit consecutive
	// completions took longer than slowFactor times the warm median.
	slowFactor = 4
	slowLimit  = 4
	// maxSamples is the number of latest completions from which the median is computed.
	// With fewer than minSamples, the speed of the target is unknown.
	maxSamples = 31
	minSamples = 4
)

// ramp implements the slow start of a cold target. The zero ramp is at the floor.
type ramp struct {
	// level may exceed 1 for a fast target whose floor is low.
	level           float64
	warm            bool // warm targets have no limit on the rate of starts.
	completions     int  // completions counts those since the level last changed that were not slow.
	slowCompletions int  // slowCompletions counts the latest consecutive slow completions.
	lastStart       time.Time
	samples         []time.Duration
	oldestSample    int           // oldestSample is the index of the sample to overwrite next.
	recentMedian    time.Duration // recentMedian is the median of the samples.
	warmMedian      time.Duration // warmMedian is the latest median while the target was warm.
}

// clampedLevel returns the level to pass to another owner, from floorLevel to 1.
func (r *ramp) clampedLevel() float64 {
	if r.warm {
		return 1
	}
	return min(max(r.level, floorLevel), maxColdLevel)
}

func (r *ramp) setLevel(level float64) {
	r.level, r.warm, r.completions, r.slowCompletions = max(level, floorLevel), level >= 1, 0, 0
}

// reset sets the level to the floor and discards the samples, which do not apply to a cold
// target.
func (r *ramp) reset() {
	r.setLevel(floorLevel)
	r.samples, r.oldestSample, r.recentMedian = nil, 0, 0
}

// rate returns the number of starts per second that the level allows.
func (r *ramp) rate(floor float64) float64 { return floor * max(r.level, floorLevel) / floorLevel }

// relativeRate returns the rate relative to what the target can run at its present speed.
func (r *ramp) relativeRate(floor float64, slots int) float64 {
	if r.warm {
		return 1
	}
	if len(r.samples) < minSamples || r.recentMedian <= 0 {
		return r.clampedLevel()
	}
	return min(r.rate(floor)*r.recentMedian.Seconds()/float64(slots), maxColdLevel)
}

// interval returns the minimum time between two starts, 0 for a warm target.
func (r *ramp) interval(floor float64) time.Duration {
	if r.warm || floor <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.rate(floor))
}

// nextStart returns the earliest time at which the next attempt may start.
func (r *ramp) nextStart(floor float64) time.Time { return r.lastStart.Add(r.interval(floor)) }

// expectedLatency returns the median latency of a completed attempt, 0 while it is unknown.
func (r *ramp) expectedLatency() time.Duration {
	if r.warmMedian > 0 {
		return r.warmMedian
	}
	return r.recentMedian
}

// recordCompletion updates the level and the medians from the latency of a completed attempt.
func (r *ramp) recordCompletion(took time.Duration, floor float64, slots int) {
	if r.warmMedian > 0 && took > slowFactor*r.warmMedian {
		r.recordSlowCompletion()
		return
	}
	r.slowCompletions = 0
	r.addSample(took)
	if r.warm {
		r.warmMedian = r.recentMedian
		return
	}
	r.completions++
	if needed := math.Ceil(r.rate(floor) * growthPeriod.Seconds()); float64(r.completions) < needed {
		return
	}
	r.level, r.completions = max(r.level, floorLevel)*growthFactor, 0
	// The rate needs no limit once it exceeds what the slots can run.
	if len(r.samples) >= minSamples && r.rate(floor)*r.recentMedian.Seconds() >= float64(slots) {
		r.warm, r.warmMedian = true, r.recentMedian
	}
}

// recordSlowCompletion counts a slow completion and resets the ramp at slowLimit. A target that
// remains slow at the floor is not cold but slower than before; its warm median is raised until
// completions no longer count as slow.
func (r *ramp) recordSlowCompletion() {
	r.slowCompletions++
	if r.slowCompletions < slowLimit {
		return
	}
	if r.clampedLevel() <= floorLevel {
		r.warmMedian = time.Duration(float64(r.warmMedian) * growthFactor)
	}
	r.reset()
}

func (r *ramp) addSample(took time.Duration) {
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, took)
	} else {
		r.samples[r.oldestSample] = took
		r.oldestSample = (r.oldestSample + 1) % maxSamples
	}
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	r.recentMedian = sorted[len(sorted)/2]
}
