package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// floorLevel is the lowest level. It stands for the rate in the inventory, and a level of
	// 1 for 32 times that rate, so that a level means the same to another owner, which does
	// not know the speed of the target.
	floorLevel = 1.0 / 32
	// almostWarm is the highest level of a target that is still paced.
	almostWarm = 0.99
	// growth is the factor by which the level rises.
	growth = 1.25
	// growthPeriod is the time whose starts must complete before the level rises.
	growthPeriod = 200 * time.Millisecond
	// singleBelow is the level below which one attempt at a time is in flight.
	singleBelow = 0.5
	// slowFactor and slowLimit tell a target that became cold again: so many consecutive
	// completions were slower than the factor times the warm median.
	slowFactor = 4
	slowLimit  = 4
	// samplesKept is the number of completions behind the median, and samplesNeeded the
	// number without which the speed of the target is not known.
	samplesKept   = 31
	samplesNeeded = 4
)

// ramp is the slow start of a cold target. The zero ramp is at the floor.
type ramp struct {
	// level may exceed 1 for a fast target whose floor is low.
	level   float64
	warm    bool // warm targets are not paced.
	counted int  // counted are the completions in time since the level last changed.
	slow    int  // slow are the latest consecutive slow completions.
	last    time.Time
	samples []time.Duration
	oldest  int
	recent  time.Duration // recent is the median of the samples.
	median  time.Duration // median is the median while warm.
}

// value returns the level that another owner continues from.
func (r *ramp) value() float64 {
	if r.warm {
		return 1
	}
	return min(max(r.level, floorLevel), almostWarm)
}

func (r *ramp) restore(level float64) {
	r.level, r.warm, r.counted, r.slow = max(level, floorLevel), level >= 1, 0, 0
}

// fall returns to the floor. The samples of the warm target say nothing about the cold one.
func (r *ramp) fall() {
	r.restore(floorLevel)
	r.samples, r.oldest, r.recent = nil, 0, 0
}

// rate returns the number of starts a second that the level allows.
func (r *ramp) rate(floor float64) float64 { return floor * max(r.level, floorLevel) / floorLevel }

// share returns the rate relative to what the target can run at its present speed.
func (r *ramp) share(floor float64, slots int) float64 {
	if r.warm {
		return 1
	}
	if len(r.samples) < samplesNeeded || r.recent <= 0 {
		return r.value()
	}
	return min(r.rate(floor)*r.recent.Seconds()/float64(slots), almostWarm)
}

// interval returns the time between two starts, 0 for a warm target.
func (r *ramp) interval(floor float64) time.Duration {
	if r.warm || floor <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.rate(floor))
}

// next returns when the next attempt may start.
func (r *ramp) next(floor float64) time.Time { return r.last.Add(r.interval(floor)) }

// expected returns the median time of a completed attempt, 0 while none is known.
func (r *ramp) expected() time.Duration {
	if r.median > 0 {
		return r.median
	}
	return r.recent
}

// completed takes the time of a completed attempt.
func (r *ramp) completed(took time.Duration, floor float64, slots int) {
	if r.median > 0 && took > slowFactor*r.median {
		r.slowed()
		return
	}
	r.slow = 0
	r.sample(took)
	if r.warm {
		r.median = r.recent
		return
	}
	r.counted++
	if needed := math.Ceil(r.rate(floor) * growthPeriod.Seconds()); float64(r.counted) < needed {
		return
	}
	r.level, r.counted = max(r.level, floorLevel)*growth, 0
	// The pace is needless once it exceeds what the slots can run.
	if len(r.samples) >= samplesNeeded && r.rate(floor)*r.recent.Seconds() >= float64(slots) {
		r.warm, r.median = true, r.recent
	}
}

// slowed counts a slow completion. A target that stays slow at the floor is not cold but
// slower than before, so that its median rises until completions count again.
func (r *ramp) slowed() {
	r.slow++
	if r.slow < slowLimit {
		return
	}
	if r.value() <= floorLevel {
		r.median = time.Duration(float64(r.median) * growth)
	}
	r.fall()
}

func (r *ramp) sample(took time.Duration) {
	if len(r.samples) < samplesKept {
		r.samples = append(r.samples, took)
	} else {
		r.samples[r.oldest] = took
		r.oldest = (r.oldest + 1) % samplesKept
	}
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	r.recent = sorted[len(sorted)/2]
}
