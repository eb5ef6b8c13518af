// Package noticer keeps what replicas say about themselves in their responses: that they leave, and for
// how long they want no request from this host. A notice holds for one start of a replica, whatever its
// entry in the registry says and whether the registry answers or not. The load patterns it answers are
// replicas that leave without an entry that says so, and pools whose replicas all turn work away.
package noticer

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// leavingRetention is how long the notice of a leaving replica is kept after its entry has
	// disappeared. Entries that expire while the registry is away return within seconds.
	leavingRetention = 10 * time.Minute
	// lastResortFraction is the part of DrainPeriod in which a leaving replica is used if no other
	// replica is left. The rest is a margin for requests that are queued or delayed on their way.
	lastResortFraction = 0.5
	// initialRamp is the number of sends in flight to a replica that accepts requests again. Each
	// success doubles it until it exceeds maxRamp, so that the end of a refusal brings no surge.
	initialRamp = 1
	maxRamp     = 16
)

// Noticer holds the notices of all replicas. It is not safe for concurrent use.
type Noticer struct {
	// DrainPeriod is how long a leaving replica still serves; 0 if that is not known.
	DrainPeriod time.Duration

	notices map[string]*notice
}

// notice is what one start of a replica has said.
type notice struct {
	startUnixMs  int64
	leavingSince time.Time // leavingSince is zero unless the replica leaves.
	refusedUntil time.Time // refusedUntil is the end of the time for which it wants no request.
	ramp         int       // ramp bounds the sends in flight after refusedUntil; 0 means no bound.
}

// Record records a response. It reports whether the response says something new.
func (n *Noticer) Record(replica *wigeonspindle.Replica, response *wigeonspindle.Response, now time.Time) bool {
	if response.WrongReplica {
		return false // It speaks for another replica.
	}
	known := n.current(replica)
	if !response.Leaving && response.RetryAfter == 0 {
		known.recordSuccess(response, now)
		return false
	}
	if known == nil {
		known = &notice{startUnixMs: replica.StartUnixMs}
		if n.notices == nil {
			n.notices = make(map[string]*notice)
		}
		n.notices[replica.ID] = known
	}
	changed := response.Leaving && known.leavingSince.IsZero()
	if changed {
		known.leavingSince = now
	}
	if until := now.Add(response.RetryAfter); response.RetryAfter > 0 && until.After(known.refusedUntil) {
		changed = changed || !now.Before(known.refusedUntil)
		known.refusedUntil, known.ramp = until, initialRamp
	}
	return changed
}

// recordSuccess raises the ramp of a replica that has answered after a refusal.
func (k *notice) recordSuccess(response *wigeonspindle.Response, now time.Time) {
	if k == nil || k.ramp == 0 || now.Before(k.refusedUntil) || !response.Success() {
		return
	}
	if k.ramp *= 2; k.ramp > maxRamp {
		k.ramp = 0
	}
}

// current returns the notice of the run that the replica's entry names, or nil.
func (n *Noticer) current(replica *wigeonspindle.Replica) *notice {
	if known, ok := n.notices[replica.ID]; ok && known.startUnixMs == replica.StartUnixMs {
		return known
	}
	return nil
}

// Accepts reports whether a replica takes one more request besides those in flight.
func (n *Noticer) Accepts(replica *wigeonspindle.Replica, inFlight int, now time.Time) bool {
	known := n.current(replica)
	if known == nil {
		return true
	}
	return !now.Before(known.refusedUntil) && (known.ramp == 0 || inFlight < known.ramp) &&
		(known.leavingSince.IsZero() || now.Before(n.lastUse(known)))
}

// Leaving reports whether a replica has said that it leaves.
func (n *Noticer) Leaving(replica *wigeonspindle.Replica) bool {
	known := n.current(replica)
	return known != nil && !known.leavingSince.IsZero()
}

// AvailableAt returns when a replica takes requests again; ok is false if it will not.
func (n *Noticer) AvailableAt(replica *wigeonspindle.Replica, now time.Time) (at time.Time, ok bool) {
	known := n.current(replica)
	if known == nil {
		return now, true
	}
	at = now
	if known.refusedUntil.After(now) {
		at = known.refusedUntil
	}
	return at, known.leavingSince.IsZero() || at.Before(n.lastUse(known))
}

// lastUse returns until when a leaving replica is used if no other one is left.
func (n *Noticer) lastUse(known *notice) time.Time {
	return known.leavingSince.Add(time.Duration(lastResortFraction * float64(n.DrainPeriod)))
}

// Retain drops the notices of unknown replicas that can no longer matter.
func (n *Noticer) Retain(known map[string]bool, now time.Time) {
	for id, k := range n.notices {
		leaves := !k.leavingSince.IsZero() && now.Sub(k.leavingSince) < leavingRetention
		if !known[id] && !leaves && !now.Before(k.refusedUntil) {
			delete(n.notices, id)
		}
	}
}
