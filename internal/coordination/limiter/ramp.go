package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// floorLevel is the lowest level. It stands for the rate in the inventory; level 1 stands
	// for 32 times that rate, which exceeds what 2 slots of a few milliseconds can start.
	floorLevel = 1.0 / 32
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
	// samplesKept is the number of completions behind the warm median.
	samplesKept = 31
)

// ramp is the slow start of a cold target. The zero ramp is at the floor.
type ramp struct {
	level   float64
	counted int       // counted are the completions in time since the level last changed.
	slow    int       // slow are the latest consecutive slow completions.
	last    time.Time // last is when the last attempt started.
	samples []time.Duration
	oldest  int
	median  time.Duration
}

func (r *ramp) value() float64 { return max(r.level, floorLevel) }

func (r *ramp) restore(level float64) {
	r.level, r.counted, r.slow = min(max(level, floorLevel), 1), 0, 0
}

func (r *ramp) fall() { r.restore(floorLevel) }

// rate returns the number of starts a second that the level allows.
func (r *ramp) rate(floor float64) float64 { return floor * r.value() / floorLevel }

// interval returns the time between two starts, 0 for a warm target.
func (r *ramp) interval(floor float64) time.Duration {
	if r.value() >= 1 || floor <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.rate(floor))
}

// next returns when the next attempt may start.
func (r *ramp) next(floor float64) time.Time { return r.last.Add(r.interval(floor)) }

// expected returns the warm median, 0 while none is known.
func (r *ramp) expected() time.Duration { return r.median }

// completed takes the time of a completed attempt.
func (r *ramp) completed(took time.Duration, floor float64) {
	if r.median > 0 && took > slowFactor*r.median {
		r.slowed()
		return
	}
	r.slow = 0
	if r.value() >= 1 {
		r.sample(took)
		return
	}
	r.counted++
	if needed := math.Ceil(r.rate(floor) * growthPeriod.Seconds()); float64(r.counted) >= needed {
		r.restore(r.value() * growth)
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
	r.median = sorted[len(sorted)/2]
}
