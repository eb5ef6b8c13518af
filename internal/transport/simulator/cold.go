package simulator

import "time"

// Parameters of the load limit of a cold target.
const (
	// rateIncrement is how much each completed request raises the limit, in requests per second.
	rateIncrement = 2
	// burstTolerance is how early a request may arrive without exceeding the limit. It covers
	// the scheduling delays of a busy machine, which shift arrivals by some milliseconds.
	burstTolerance = 30 * time.Millisecond
)

// coldLimiter limits the request rate of a cold target. The limit starts at a floor and rises
// with each completed request. The zero value is warm and allows every request.
type coldLimiter struct {
	rate    float64 // rate is in requests per second; 0 means warm.
	nextDue time.Time
}

func (l *coldLimiter) cold() bool { return l.rate > 0 }

// makeCold resets the limit to the floor. With a floor of 0 the target stays warm.
func (l *coldLimiter) makeCold(floor float64) { l.rate, l.nextDue = floor, time.Time{} }

// allow reports whether a request that arrives now is within the limit. It is a leaky bucket
// whose burst is one request, or the requests within burstTolerance if they are more.
func (l *coldLimiter) allow(now time.Time) bool {
	if !l.cold() {
		return true
	}
	interval := time.Duration(float64(time.Second) / l.rate)
	if now.Before(l.nextDue.Add(-max(interval, burstTolerance))) {
		return false
	}
	if l.nextDue.Before(now) {
		l.nextDue = now
	}
	l.nextDue = l.nextDue.Add(interval)
	return true
}

// recordCompletion raises the limit; when it reaches fullRate the target is warm.
func (l *coldLimiter) recordCompletion(fullRate float64) {
	if !l.cold() {
		return
	}
	l.rate += rateIncrement
	if l.rate >= fullRate {
		l.rate = 0
	}
}
