package elector

import (
	"maps"
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Delays and time-outs of the planner.
const (
	// startupDelay gives a starting host time to discover its peers before it plans a roster.
	startupDelay = 2 * time.Second
	// silenceTimeout is how long a voter may be silent before its seat is reassigned.
	silenceTimeout = 10 * time.Second
	// absenceTimeout is how long a host must be missing from the host list before its voter
	// counts as dead.
	absenceTimeout = 30 * time.Second
)

// Observation is a host's knowledge of its cell when it plans the roster.
type Observation struct {
	// Stored is the roster in the store, and Known is the one received from other hosts.
	Stored, Known wigeonspindle.Roster
	// Candidates are the live hosts that may be given a seat, including the planning one.
	Candidates []wigeonspindle.Host
	// Responding holds the incarnations that answer, including those that are leaving.
	Responding map[wigeonspindle.Incarnation]bool
	// ListedHosts holds the hosts in the platform's list. It is nil if the list was not read.
	ListedHosts map[string]bool
	// Dead holds the incarnations whose address refuses connections or answers with another
	// incarnation.
	Dead map[wigeonspindle.Incarnation]bool
}

// Planner proposes changes to the roster, one seat at a time.
type Planner struct {
	started     time.Time
	silentSince map[wigeonspindle.Incarnation]time.Time
	absentSince map[wigeonspindle.Incarnation]time.Time
}

// Plan returns the roster to write to the store. It reports false if nothing has to be written.
func (p *Planner) Plan(observation Observation, now time.Time) (wigeonspindle.Roster, bool) {
	if p.started.IsZero() {
		p.started = now
		p.silentSince, p.absentSince = make(map[wigeonspindle.Incarnation]time.Time), make(map[wigeonspindle.Incarnation]time.Time)
	}
	roster, changed := MergeRosters(observation.Stored, observation.Known)
	p.updateSince(roster, observation, now)
	settled := now.Sub(p.started) >= startupDelay || roster.Era == 0 && allListedReady(observation)
	switch {
	case changed:
		return roster, true
	case len(observation.Candidates) == 0 || !settled:
		return roster, false
	case roster.Era == 0:
		return NewRoster(1, observation.Candidates), true
	case p.majorityDead(roster, observation, now):
		// A peer may know of seat transfers that are not in the store, so the death of the
		// stored voters alone does not prove that the majority is lost.
		if !p.hearsMajority(observation) {
			return roster, false
		}
		return NewRoster(roster.Era+1, observation.Candidates), true
	}
	return p.changeSeat(roster, observation, now)
}

// updateSince records since when each voter has been silent or missing from the host list, and
// removes the entries of former voters.
func (p *Planner) updateSince(roster wigeonspindle.Roster, observation Observation, now time.Time) {
	former := func(voter wigeonspindle.Incarnation, _ time.Time) bool {
		return !slices.ContainsFunc(roster.Seats, func(seat wigeonspindle.Seat) bool {
			return seat.Incarnation == voter || seat.PreviousIncarnation == voter
		})
	}
	maps.DeleteFunc(p.silentSince, former)
	maps.DeleteFunc(p.absentSince, former)
	for _, seat := range roster.Seats {
		p.setSince(p.silentSince, seat.Incarnation, !observation.Responding[seat.Incarnation], now)
		p.setSince(p.absentSince, seat.Incarnation, observation.ListedHosts != nil && !observation.ListedHosts[seat.Host], now)
		if seat.PreviousIncarnation != "" {
			p.setSince(p.absentSince, seat.PreviousIncarnation, observation.ListedHosts != nil && !observation.ListedHosts[seat.PreviousHost], now)
		}
	}
}

func (*Planner) setSince(since map[wigeonspindle.Incarnation]time.Time, voter wigeonspindle.Incarnation, set bool, now time.Time) {
	if !set {
		delete(since, voter)
	} else if _, ok := since[voter]; !ok {
		since[voter] = now
	}
}

func (p *Planner) dead(voter wigeonspindle.Incarnation, observation Observation, now time.Time) bool {
	if observation.Responding[voter] {
		return false
	}
	since, absent := p.absentSince[voter]
	return observation.Dead[voter] || absent && now.Sub(since) >= absenceTimeout
}

// majorityDead reports whether the voters that may grant leases can never form a majority again.
// A pending voter does not grant, so the previous voter of its seat counts instead.
func (p *Planner) majorityDead(roster wigeonspindle.Roster, observation Observation, now time.Time) bool {
	seats, alive := 0, 0
	for _, seat := range roster.Seats {
		voter := seat.Incarnation
		if seat.Pending {
			voter = seat.PreviousIncarnation
			if voter == "" {
				continue
			}
		}
		seats++
		if !p.dead(voter, observation, now) {
			alive++
		}
	}
	return alive < Majority(seats)
}

// hearsMajority reports whether the live hosts are more than half of the listed hosts that were
// not proved dead.
func (*Planner) hearsMajority(observation Observation) bool {
	names := make(map[string]bool)
	for _, host := range observation.Candidates {
		names[host.Name] = true
	}
	known := 0
	for name := range observation.ListedHosts {
		if names[name] {
			known++
		}
	}
	return observation.ListedHosts != nil && 2*known > len(observation.ListedHosts)-len(observation.Dead)
}

// allListedReady reports whether every listed host may be given a seat.
func allListedReady(observation Observation) bool {
	return len(observation.ListedHosts) > 0 && !slices.ContainsFunc(slices.Collect(maps.Keys(observation.ListedHosts)), func(name string) bool {
		return !slices.ContainsFunc(observation.Candidates, func(host wigeonspindle.Host) bool { return host.Name == name })
	})
}

// changeSeat proposes a change of one seat. While a seat is pending, only that seat may change,
// so that the confirmations of two changes are never mixed up.
func (p *Planner) changeSeat(roster wigeonspindle.Roster, observation Observation, now time.Time) (wigeonspindle.Roster, bool) {
	i := slices.IndexFunc(roster.Seats, func(seat wigeonspindle.Seat) bool { return seat.Pending })
	if i >= 0 {
		if !p.needsReplacement(roster, i, observation, now) {
			return roster, false
		}
		return p.replaceVoter(roster, i, observation)
	}
	for i := range roster.Seats {
		// A single seat is never reassigned, because no other seat could confirm the change.
		if len(roster.Seats) > 1 && p.needsReplacement(roster, i, observation, now) {
			return p.replaceVoter(roster, i, observation)
		}
	}
	if len(roster.Seats) < SeatCount(len(observation.Candidates)) {
		return p.addSeat(roster, observation)
	}
	return p.balanceDomains(roster, observation)
}

// needsReplacement reports whether the voter of a seat is dead, has been silent for
// silenceTimeout or also has a seat with a lower index.
func (p *Planner) needsReplacement(roster wigeonspindle.Roster, i int, observation Observation, now time.Time) bool {
	voter := roster.Seats[i].Incarnation
	for _, seat := range roster.Seats[:i] {
		if seat.Incarnation == voter {
			return true
		}
	}
	since, silent := p.silentSince[voter]
	return p.dead(voter, observation, now) || silent && now.Sub(since) >= silenceTimeout
}

func (*Planner) replaceVoter(roster wigeonspindle.Roster, i int, observation Observation) (wigeonspindle.Roster, bool) {
	seats := slices.Clone(roster.Seats)
	old := seats[i]
	others := wigeonspindle.Roster{Seats: slices.Delete(slices.Clone(seats), i, i+1)}
	host, ok := ChooseVoter(others, observation.Candidates)
	if !ok {
		return roster, false
	}
	seats[i] = newSeat(host, nextAssignedTerm(old.Term))
	seats[i].Pending, seats[i].PreviousIncarnation, seats[i].PreviousHost = true, old.Incarnation, old.Host
	if old.Pending {
		seats[i].PreviousIncarnation, seats[i].PreviousHost = old.PreviousIncarnation, old.PreviousHost
	}
	return wigeonspindle.Roster{Era: roster.Era, Seats: seats}, true
}

func (*Planner) addSeat(roster wigeonspindle.Roster, observation Observation) (wigeonspindle.Roster, bool) {
	host, ok := ChooseVoter(roster, observation.Candidates)
	if !ok {
		return roster, false
	}
	seat := newSeat(host, TermStep)
	seat.Pending = true
	return wigeonspindle.Roster{Era: roster.Era, Seats: append(slices.Clone(roster.Seats), seat)}, true
}

// balanceDomains moves a seat out of a failure domain whose loss would leave no majority, if
// another domain can take the seat without the same problem.
func (p *Planner) balanceDomains(roster wigeonspindle.Roster, observation Observation) (wigeonspindle.Roster, bool) {
	seatsByDomain := make(map[string]int)
	for _, seat := range roster.Seats {
		seatsByDomain[seat.Domain]++
	}
	maxFailures := len(roster.Seats) - Majority(len(roster.Seats))
	if maxFailures == 0 {
		return roster, false
	}
	for i, seat := range roster.Seats {
		if seatsByDomain[seat.Domain] <= maxFailures {
			continue
		}
		changed, ok := p.replaceVoter(roster, i, observation)
		if ok && seatsByDomain[changed.Seats[i].Domain] < maxFailures {
			return changed, true
		}
	}
	return roster, false
}
