// Package limiter keeps one target within its limits: its slots, its queue and the load
// that it bears while cold. Every method takes the time, so that a trace replays exactly.
package limiter

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// QueueSize bounds the attempts that wait for one target.
const QueueSize = 64

// Limiter decides when the attempts of one target start. The zero Until owns nothing.
type Limiter struct {
	Target wigeonspindle.Target
	// Until is the end of the lease on the target.
	Until time.Time

	waiting []wigeonspindle.Attempt
	running map[wigeonspindle.AttemptID]wigeonspindle.Attempt
}

// Offer queues an attempt or refuses it before it ran.
func (l *Limiter) Offer(attempt wigeonspindle.Attempt, now time.Time) *wigeonspindle.Refusal {
	switch {
	case !now.Before(l.Until):
		return refuse(wigeonspindle.CodeNotOwner, "the host holds no lease on the target")
	case !now.Before(attempt.Deadline):
		return refuse(wigeonspindle.CodeExpired, "the deadline has passed")
	case len(l.waiting) >= QueueSize:
		return refuse(wigeonspindle.CodeOverloaded, "the queue of the target is full")
	}
	l.waiting = append(l.waiting, attempt)
	return nil
}

// Next returns the next attempt to send, if one may start now. Its deadline is capped by
// the end of the lease.
func (l *Limiter) Next(now time.Time) (wigeonspindle.Attempt, bool) {
	if len(l.waiting) == 0 || len(l.running) >= l.Target.Slots || !now.Before(l.Until) {
		return wigeonspindle.Attempt{}, false
	}
	attempt := l.waiting[0]
	l.waiting = l.waiting[1:]
	if attempt.Deadline.After(l.Until) {
		attempt.Deadline = l.Until
	}
	if l.running == nil {
		l.running = make(map[wigeonspindle.AttemptID]wigeonspindle.Attempt)
	}
	l.running[attempt.ID] = attempt
	return attempt, true
}

// Done frees the slot of a finished attempt.
func (l *Limiter) Done(outcome wigeonspindle.Outcome, _ time.Time) {
	delete(l.running, outcome.ID)
}

// Cancel removes a waiting attempt and reports whether the attempt is running instead.
func (l *Limiter) Cancel(id wigeonspindle.AttemptID) (running bool) {
	for i, attempt := range l.waiting {
		if attempt.ID == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return false
		}
	}
	_, running = l.running[id]
	return running
}

// Expire removes and returns the waiting attempts whose deadline has passed or, once the
// lease has ended, all of them.
func (l *Limiter) Expire(now time.Time) []wigeonspindle.Attempt {
	var expired, kept []wigeonspindle.Attempt
	for _, attempt := range l.waiting {
		if now.Before(attempt.Deadline) && now.Before(l.Until) {
			kept = append(kept, attempt)
		} else {
			expired = append(expired, attempt)
		}
	}
	l.waiting = kept
	return expired
}

// Load returns the owner's view of the target.
func (l *Limiter) Load() wigeonspindle.Load {
	return wigeonspindle.Load{Waiting: len(l.waiting), Running: len(l.running), Level: 1}
}

func refuse(code wigeonspindle.Code, message string) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{Code: code, Verdict: wigeonspindle.NotRun, Message: message}
}
