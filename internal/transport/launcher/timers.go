package launcher

import (
	"container/heap"
	"time"
)

// timer is the next wake-up of a query or of a forwarded request.
type timer struct {
	at       time.Time
	fire     func(now time.Time)
	position int
}

// timers is a heap of timers, the next one at the top.
type timers []*timer

// Len returns the number of timers.
func (t timers) Len() int { return len(t) }

// Less orders timers by their time.
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }

// Swap exchanges two timers.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].position, t[j].position = i, j
}

// Push adds a timer.
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.position = len(*t)
	*t = append(*t, added)
}

// Pop removes the last timer.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	return last
}

// add starts a timer.
func (t *timers) add(at time.Time, fire func(now time.Time)) *timer {
	added := &timer{at: at, fire: fire}
	heap.Push(t, added)
	return added
}

// move changes the time of a timer.
func (t *timers) move(moved *timer, at time.Time) {
	if !moved.at.Equal(at) {
		moved.at = at
		heap.Fix(t, moved.position)
	}
}

// remove stops a timer.
func (t *timers) remove(removed *timer) { heap.Remove(t, removed.position) }

// run fires the timers that are due at now. A timer that moves itself into the past fires
// again in the next turn, so that one query cannot hold up the others.
func (t *timers) run(now time.Time) {
	for range len(*t) {
		if len(*t) == 0 || (*t)[0].at.After(now) {
			return
		}
		(*t)[0].fire(now)
	}
}

// wait returns the time until the next timer. Without one it is an hour, because a
// channel that never fires would need a case of its own.
func (t timers) wait(now time.Time) time.Duration {
	if len(t) == 0 {
		return time.Hour
	}
	return max(t[0].at.Sub(now), 0)
}
