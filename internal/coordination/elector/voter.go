package elector

import (
	"maps"
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// counterPruneThreshold is the number of counters at which those of holders without a lease are
// removed.
const counterPruneThreshold = 256

// Voter grants leases on targets while its host has a seat. A restarted host has a new
// incarnation and therefore no seat, so it is safe that the restart loses its grants.
type Voter struct {
	Self wigeonspindle.Incarnation

	roster wigeonspindle.Roster
	// terms holds the highest term seen for each seat in this era, which may be that of a
	// voter not known yet.
	terms  []uint64
	seat   int // seat is the index of the seat. It is valid only while seated is set.
	term   uint64
	seated bool
	acks   map[int]wigeonspindle.Acknowledgement
	// grantsFrom is the time from which the voter may grant leases. It is zero while other seats
	// still have to confirm the voter.
	grantsFrom time.Time
	leasesEnd  time.Time // leasesEnd is when the longest lease that a confirming voter granted ends.
	grants     map[string]grant
	counters   map[wigeonspindle.Incarnation]uint64
}

type grant struct {
	holder wigeonspindle.Incarnation
	until  time.Time
	level  float64
}

// Roster returns the roster that the voter knows.
func (v *Voter) Roster() wigeonspindle.Roster { return v.roster }

// Seat returns the index of the voter's seat.
func (v *Voter) Seat() (int, bool) { return v.seat, v.seated }

// UpdateRoster merges a roster from another host or the store into the known one and reports
// whether that changed it.
func (v *Voter) UpdateRoster(roster wigeonspindle.Roster, lease time.Duration, now time.Time) bool {
	merged, changed := MergeRosters(v.roster, roster)
	if !changed {
		return false
	}
	if merged.Era != v.roster.Era {
		v.terms, v.seated = nil, false
	}
	v.roster = merged
	v.terms = maxTerms(v.terms, Terms(merged))
	v.updateSeat(lease, now)
	return true
}

// updateSeat looks up the voter's seat in a changed roster.
func (v *Voter) updateSeat(lease time.Duration, now time.Time) {
	i := slices.IndexFunc(v.roster.Seats, func(seat wigeonspindle.Seat) bool { return seat.Incarnation == v.Self })
	if i < 0 {
		v.seated = false
		return
	}
	seat := v.roster.Seats[i]
	// No lease can be older than the first roster in the store, so its voters need not wait.
	first := v.roster.Era == 1 && seat.Term == TermStep && !v.seated
	if !v.seated || v.seat != i || v.term != seat.Term {
		v.seat, v.term, v.seated = i, seat.Term, true
		v.grantsFrom, v.leasesEnd = time.Time{}, time.Time{}
		v.acks = make(map[int]wigeonspindle.Acknowledgement)
	}
	if v.grantsFrom.IsZero() && !seat.Pending {
		// Leases that rely on a grant of the previous voter end within one lease period.
		v.grantsFrom = now.Add(lease)
		if first {
			v.grantsFrom = now
		}
		if v.leasesEnd.After(v.grantsFrom) {
			v.grantsFrom = v.leasesEnd
		}
	}
}

// CanGrant reports whether the voter may grant leases.
func (v *Voter) CanGrant(now time.Time) bool {
	return v.isCurrent() && !v.grantsFrom.IsZero() && !now.Before(v.grantsFrom)
}

// isCurrent reports whether the host has a seat and no newer voter of that seat is known.
func (v *Voter) isCurrent() bool {
	return v.seated && v.terms[v.seat] == v.term
}

// Claim answers a holder's claim. It reports false if the host has no seat or has seen a newer
// claim of the holder.
func (v *Voter) Claim(claim wigeonspindle.Claim, lease time.Duration, now time.Time) (wigeonspindle.Grant, bool) {
	if !v.isCurrent() || claim.Counter < v.counters[claim.Holder] {
		return wigeonspindle.Grant{}, false
	}
	answer := wigeonspindle.Grant{
		Voter: v.Self, Era: v.roster.Era, Seat: v.seat, Terms: slices.Clone(v.terms), Counter: claim.Counter, Lease: lease,
	}
	if !v.CanGrant(now) || claim.Era != v.roster.Era {
		return answer, true
	}
	if v.grants == nil {
		v.grants, v.counters = make(map[string]grant), make(map[wigeonspindle.Incarnation]uint64)
	}
	v.pruneCounters(now)
	v.counters[claim.Holder] = claim.Counter
	for _, target := range claim.Targets {
		granted := v.grants[target.Target]
		if granted.holder != claim.Holder && now.Before(granted.until) {
			answer.Denied = append(answer.Denied, target.Target)
			continue
		}
		if target.Level > 0 {
			granted.level = target.Level
		}
		// A shorter lease period in the rules must not shorten a lease that was already granted.
		until := now.Add(lease)
		if granted.holder == claim.Holder && granted.until.After(until) {
			until = granted.until
		}
		v.grants[target.Target] = grant{holder: claim.Holder, until: until, level: granted.level}
		answer.Targets = append(answer.Targets, wigeonspindle.ClaimTarget{Target: target.Target, Level: granted.level})
	}
	return answer, true
}

// pruneCounters removes the counters of holders without a lease once there are
// counterPruneThreshold counters.
func (v *Voter) pruneCounters(now time.Time) {
	if len(v.counters) < counterPruneThreshold {
		return
	}
	holding := make(map[wigeonspindle.Incarnation]bool)
	for _, granted := range v.grants {
		holding[granted.holder] = holding[granted.holder] || now.Before(granted.until)
	}
	maps.DeleteFunc(v.counters, func(holder wigeonspindle.Incarnation, _ uint64) bool { return !holding[holder] })
}

// Release ends the leases on targets that their holder returns and keeps the ramp levels.
func (v *Voter) Release(release wigeonspindle.Release, now time.Time) {
	if release.Counter < v.counters[release.Holder] {
		return
	}
	for _, target := range release.Targets {
		granted, ok := v.grants[target.Target]
		if !ok || granted.holder != release.Holder {
			continue
		}
		granted.until = now
		if target.Level > 0 {
			granted.level = target.Level
		}
		v.grants[target.Target] = granted
	}
}

// Holder returns the holder to which the voter has granted the lease on a target.
func (v *Voter) Holder(target string, now time.Time) (wigeonspindle.Incarnation, bool) {
	granted, ok := v.grants[target]
	return granted.holder, ok && now.Before(granted.until)
}

// Acknowledge confirms the voter of another seat: from now on every grant carries the term of
// that seat. It reports false if this voter is not allowed or not able to confirm that voter.
func (v *Voter) Acknowledge(seat int, now time.Time) (wigeonspindle.Acknowledgement, bool) {
	if !v.isCurrent() || v.grantsFrom.IsZero() || seat == v.seat || seat >= len(v.roster.Seats) {
		return wigeonspindle.Acknowledgement{}, false
	}
	confirmed := v.roster.Seats[seat]
	ack := wigeonspindle.Acknowledgement{
		Voter: v.Self, Era: v.roster.Era, Seat: seat, Term: confirmed.Term, Incarnation: confirmed.Incarnation,
		Terms: slices.Clone(v.terms),
	}
	for _, granted := range v.grants {
		ack.LeaseRemaining = max(ack.LeaseRemaining, granted.until.Sub(now))
	}
	return ack, true
}

// AddAcknowledgement records a confirmation from the voter of another seat.
func (v *Voter) AddAcknowledgement(ack wigeonspindle.Acknowledgement, now time.Time) {
	if !v.seated || ack.Era != v.roster.Era {
		return
	}
	v.terms = maxTerms(v.terms, ack.Terms)
	if ack.Seat != v.seat || ack.Term != v.term || ack.Incarnation != v.Self {
		return
	}
	for i, seat := range v.roster.Seats {
		if seat.Incarnation == ack.Voter && i != v.seat {
			v.acks[i] = ack
			if end := now.Add(ack.LeaseRemaining); end.After(v.leasesEnd) {
				v.leasesEnd = end
			}
		}
	}
}

// NeedsConfirmation reports whether other seats still have to confirm the voter.
func (v *Voter) NeedsConfirmation() bool { return v.isCurrent() && v.roster.Seats[v.seat].Pending }

// ConfirmedRoster returns the roster in which the voter's own seat is no longer pending, once
// as many other seats as a majority of all seats, or all other seats if these are fewer, have
// confirmed it. The voter grants nothing until that roster has been written to the store and
// passed to UpdateRoster.
func (v *Voter) ConfirmedRoster() (wigeonspindle.Roster, bool) {
	if !v.NeedsConfirmation() || len(v.roster.Seats) < 2 {
		return wigeonspindle.Roster{}, false
	}
	confirmed := 0
	for i, ack := range v.acks {
		// The confirmation of a voter that has been replaced meanwhile does not count.
		if seat := v.roster.Seats[i]; seat.Incarnation == ack.Voter && seat.Term == v.terms[i] {
			confirmed++
		}
	}
	if confirmed < min(Majority(len(v.roster.Seats)), len(v.roster.Seats)-1) {
		return wigeonspindle.Roster{}, false
	}
	roster := wigeonspindle.Roster{Era: v.roster.Era, Seats: slices.Clone(v.roster.Seats)}
	seat := &roster.Seats[v.seat]
	seat.Pending, seat.PreviousIncarnation, seat.PreviousHost = false, "", ""
	return roster, true
}

// TransferSeat gives the seat to another host at a planned stop. The voter never grants again.
// A voter that may not grant yet keeps its seat, because the new voter would not know the
// earlier leases that this one still waits for.
func (v *Voter) TransferSeat(to wigeonspindle.Host, now time.Time) (wigeonspindle.Roster, bool) {
	if !v.CanGrant(now) || (v.term+1)%TermStep == 0 {
		return wigeonspindle.Roster{}, false
	}
	seats := slices.Clone(v.roster.Seats)
	seats[v.seat] = newSeat(to, v.term+1)
	v.roster.Seats = seats
	v.terms = maxTerms(v.terms, Terms(v.roster))
	v.seated = false
	return v.roster, true
}
