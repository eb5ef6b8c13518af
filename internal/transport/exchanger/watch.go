package exchanger

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

// minWatchInterval is the least time between the first two dials of a watched replica. It doubles with each dial,
// because a replica may close all connections that it accepts.
const minWatchInterval = 100 * time.Millisecond

// watch keeps a connection to a replica open, because the end of the last one tells that the replica may have
// ended.
type watch struct {
	until    time.Time
	dialAt   time.Time     // dialAt is when the replica may be dialled again.
	interval time.Duration // interval is the time until the next dial.
	waiting  bool          // waiting reports that a dial is scheduled.
}

// Watch dials a replica whenever no connection to it is left until a time. It has no effect if until is in the
// past.
func (p *Pool) Watch(replica *wigeonspindle.Replica, until time.Time) {
	if !p.Clock.Now().Before(until) {
		return
	}
	r := p.connectionsTo(replica.ID)
	if !p.watched(r) {
		r.watch = watch{interval: minWatchInterval, waiting: r.watch.waiting}
	}
	if until.After(r.watch.until) {
		r.watch.until = until
	}
	p.checkReachable(r, replica)
}

// watched reports whether a replica is watched.
func (p *Pool) watched(r *replicaConnections) bool {
	return !r.watch.until.IsZero() && p.Clock.Now().Before(r.watch.until)
}

// checkReachable dials a replica once no connection to it is left, if a connection to it broke or it is watched.
func (p *Pool) checkReachable(r *replicaConnections, replica *wigeonspindle.Replica) {
	switch {
	case r.size() > 0 || r.removed:
	case r.broke:
		p.dial(r, replica)
	case p.watched(r):
		p.dialWatched(r, replica)
	}
}

// dialWatched dials a watched replica, or schedules the dial.
func (p *Pool) dialWatched(r *replicaConnections, replica *wigeonspindle.Replica) {
	now := p.Clock.Now()
	switch {
	case !now.Before(r.watch.dialAt):
		r.watch.dialAt = now.Add(r.watch.interval)
		r.watch.interval *= 2
		p.dial(r, replica)
	case !r.watch.waiting && p.Schedule != nil:
		r.watch.waiting = true
		p.Schedule(r.watch.dialAt, func() {
			r.watch.waiting = false
			p.checkReachable(r, replica)
		})
	}
}

// ReachabilityOf returns what the error of a dial says about the replica; nil is no error.
func ReachabilityOf(err error) wigeonspindle.Reachability {
	switch {
	case err == nil:
		return wigeonspindle.Reachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return wigeonspindle.Ended
	}
	return wigeonspindle.Unreachable
}
