package gatherer

import "time"

// callerTimeoutWindow is the least time for which the longest time-out of a route's callers is
// kept. It is long enough for some calls of every route, and short enough that a shorter
// time-out takes effect soon after callers have changed it.
const callerTimeoutWindow = 5 * time.Second

// callerTimeoutTracker estimates the full time-out of the callers of a route. Callers state the
// time that is left since their first attempt. The difference to the longest stated time-out has
// therefore passed before the call arrived: in discovery, connecting, or an earlier attempt.
type callerTimeoutTracker struct {
	currentMax, previousMax time.Duration
	rotatedAt               time.Time
}

// observe records the time-out that a call states and returns how long its caller has waited.
func (t *callerTimeoutTracker) observe(remaining time.Duration, now time.Time) time.Duration {
	if elapsed := now.Sub(t.rotatedAt); elapsed >= callerTimeoutWindow {
		t.previousMax = t.currentMax
		if elapsed >= 2*callerTimeoutWindow {
			t.previousMax = 0
		}
		t.currentMax, t.rotatedAt = 0, now
	}
	t.currentMax = max(t.currentMax, remaining)
	return max(t.currentMax, t.previousMax) - remaining
}
