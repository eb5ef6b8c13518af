package gatherer

import "time"

// patienceWindow is the least time for which the longest patience of a route's callers is
// remembered. It holds some calls of every route, and a shorter patience counts soon after
// callers have changed it.
const patienceWindow = 5 * time.Second

// patience learns how long the callers of a route wait in all. Callers count the time that
// they are willing to wait down from their first try, so that what a call is short of the
// longest patience has passed before it arrived: asking where to connect, opening a
// connection, or an earlier try.
type patience struct {
	longest, before time.Duration
	rotated         time.Time
}

// observe notes the patience of a call and returns how long its caller has waited already.
func (p *patience) observe(left time.Duration, now time.Time) time.Duration {
	if elapsed := now.Sub(p.rotated); elapsed >= patienceWindow {
		p.before = p.longest
		if elapsed >= 2*patienceWindow {
			p.before = 0
		}
		p.longest, p.rotated = 0, now
	}
	p.longest = max(p.longest, left)
	return max(p.longest, p.before) - left
}
