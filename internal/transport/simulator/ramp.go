package simulator

import "time"

// Parameters of a cold target.
const (
	// warming is the bearable load in requests per second that each completed request adds.
	warming = 2
	// slack is how early a request may arrive before it counts as an excess. It covers the
	// scheduling delays of a busy machine, which shift arrivals by some milliseconds.
	slack = 30 * time.Millisecond
)

// ramp is the load that a target bears: a rate that starts at a floor and rises with the
// requests that the target completes. The zero value is warm and bears everything.
type ramp struct {
	rate float64 // rate is in requests per second; 0 means warm.
	due  time.Time
}

func (r *ramp) cold() bool { return r.rate > 0 }

// chill makes the target cold. Without a floor the target stays warm.
func (r *ramp) chill(floor float64) { r.rate, r.due = floor, time.Time{} }

// bears reports whether the target bears a request that arrives now. It is a leaky bucket
// that holds one request more than the rate, or the requests of the slack if they are more.
func (r *ramp) bears(now time.Time) bool {
	if !r.cold() {
		return true
	}
	interval := time.Duration(float64(time.Second) / r.rate)
	if now.Before(r.due.Add(-max(interval, slack))) {
		return false
	}
	if r.due.Before(now) {
		r.due = now
	}
	r.due = r.due.Add(interval)
	return true
}

// completed raises the rate; at full load the target is warm.
func (r *ramp) completed(full float64) {
	if !r.cold() {
		return
	}
	r.rate += warming
	if r.rate >= full {
		r.rate = 0
	}
}
