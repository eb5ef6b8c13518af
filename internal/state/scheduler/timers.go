// Package scheduler keeps the timers of a goroutine, so that it can wait for all of them with a
// single channel.
package scheduler

import (
	"container/heap"
	"time"
)

// Timer is a callback that is due at a point in time.
type Timer struct {
	at    time.Time
	fire  func(now time.Time)
	index int
}

// Timers is a heap of timers, the earliest one first. Len, Less, Swap, Push and Pop implement
// heap.Interface.
type Timers []*Timer

// Len returns the number of timers.
func (t Timers) Len() int { return len(t) }

// Less reports whether a timer is due before another one.
func (t Timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }

// Swap exchanges two timers.
func (t Timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push appends a timer to the slice.
func (t *Timers) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*t)
	*t = append(*t, timer)
}

// Pop removes the last timer of the slice.
func (t *Timers) Pop() any {
	last := (*t)[len(*t)-1]
	(*t)[len(*t)-1] = nil
	*t = (*t)[:len(*t)-1]
	return last
}

// Add adds a timer. Once it is due it fires in each RunDue until it is rescheduled or removed.
func (t *Timers) Add(at time.Time, fire func(now time.Time)) *Timer {
	timer := &Timer{at: at, fire: fire}
	heap.Push(t, timer)
	return timer
}

// AddOnce adds a timer that is removed when it fires.
func (t *Timers) AddOnce(at time.Time, fire func(now time.Time)) {
	var timer *Timer
	timer = t.Add(at, func(now time.Time) {
		t.Remove(timer)
		fire(now)
	})
}

// Reschedule changes the time at which a timer is due.
func (t *Timers) Reschedule(timer *Timer, at time.Time) {
	if !timer.at.Equal(at) {
		timer.at = at
		heap.Fix(t, timer.index)
	}
}

// Remove removes a timer. It must not be called twice for the same timer, because the index of a
// removed timer is no longer valid.
func (t *Timers) Remove(timer *Timer) { heap.Remove(t, timer.index) }

// RunDue fires the timers that are due at now. The number of timers limits how often it fires
// one, so that a timer that stays due cannot hold up the other work of the goroutine.
func (t *Timers) RunDue(now time.Time) {
	for range len(*t) {
		if len(*t) == 0 || (*t)[0].at.After(now) {
			return
		}
		(*t)[0].fire(now)
	}
}

// UntilNext returns the time until the next timer is due. Without timers it is an hour, so that
// callers need no special case for a channel that never fires.
func (t Timers) UntilNext(now time.Time) time.Duration {
	if len(t) == 0 {
		return time.Hour
	}
	return max(t[0].at.Sub(now), 0)
}
