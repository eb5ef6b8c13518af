// Package elector decides which host owns a target. Each voter grants a target to one holder
// at a time, and a holder owns a target while it has grants from a majority of the seats. Every
// method takes the time as an argument, so that a trace replays exactly.
package elector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

// TermStep is the distance between the terms of a seat that are assigned through the store.
// Seat transfers between hosts use the terms in between, so that an assignment supersedes
// transfers that its writer did not know.
const TermStep = 1 << 16

// Majority returns the smallest number of seats for which any two sets of that size overlap.
func Majority(seats int) int { return seats/2 + 1 }

// SeatCount returns the number of seats of a cell with the given number of hosts.
func SeatCount(hosts int) int {
	switch {
	case hosts >= 9:
		return 7
	case hosts >= 5:
		return 5
	case hosts >= 3:
		return 3
	case hosts >= 1:
		return 1
	}
	return 0
}

// MergeRosters merges other into known and reports whether that changed it. The newer era wins,
// then the higher term of each seat. For equal terms the known voter stays.
func MergeRosters(known, other wigeonspindle.Roster) (wigeonspindle.Roster, bool) {
	if other.Era != known.Era {
		if other.Era < known.Era {
			return known, false
		}
		return wigeonspindle.Roster{Era: other.Era, Seats: slices.Clone(other.Seats)}, true
	}
	merged, changed := slices.Clone(known.Seats), false
	for i, seat := range other.Seats {
		switch {
		case i >= len(merged):
			merged, changed = append(merged, seat), true
		case seat.Term > merged[i].Term,
			seat.Term == merged[i].Term && seat.Incarnation == merged[i].Incarnation && merged[i].Pending && !seat.Pending:
			merged[i], changed = seat, true
		}
	}
	return wigeonspindle.Roster{Era: known.Era, Seats: merged}, changed
}

// Terms returns the terms of all seats.
func Terms(roster wigeonspindle.Roster) []uint64 {
	terms := make([]uint64, 0, len(roster.Seats))
	for _, seat := range roster.Seats {
		terms = append(terms, seat.Term)
	}
	return terms
}

// Outdated reports whether the given era and terms are behind those of the roster.
func Outdated(era uint64, terms []uint64, roster wigeonspindle.Roster) bool {
	if era != roster.Era {
		return era < roster.Era
	}
	if len(terms) < len(roster.Seats) {
		return true
	}
	for i, seat := range roster.Seats {
		if terms[i] < seat.Term {
			return true
		}
	}
	return false
}

// ChooseVoter returns the host to assign the next seat to: one without a seat, from the failure
// domain with the fewest seats. Ties are broken by a hash of the name.
func ChooseVoter(roster wigeonspindle.Roster, hosts []wigeonspindle.Host) (wigeonspindle.Host, bool) {
	seatsByDomain := make(map[string]int)
	seated := make(map[string]bool)
	for _, seat := range roster.Seats {
		seatsByDomain[seat.Domain]++
		seated[seat.Host] = true
	}
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(host wigeonspindle.Host) bool { return seated[host.Name] })
	if len(candidates) == 0 {
		return wigeonspindle.Host{}, false
	}
	return slices.MinFunc(candidates, func(a, b wigeonspindle.Host) int {
		if fewer := cmp.Compare(seatsByDomain[a.Domain], seatsByDomain[b.Domain]); fewer != 0 {
			return fewer
		}
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	}), true
}

// NewRoster returns a roster for a new era, in which all voters are chosen anew.
func NewRoster(era uint64, hosts []wigeonspindle.Host) wigeonspindle.Roster {
	roster := wigeonspindle.Roster{Era: era}
	for range SeatCount(len(hosts)) {
		host, ok := ChooseVoter(roster, hosts)
		if !ok {
			break
		}
		roster.Seats = append(roster.Seats, newSeat(host, TermStep))
	}
	return roster
}

func newSeat(host wigeonspindle.Host, term uint64) wigeonspindle.Seat {
	return wigeonspindle.Seat{Host: host.Name, Incarnation: host.Incarnation, Domain: host.Domain, Term: term}
}

func nextAssignedTerm(term uint64) uint64 { return (term/TermStep + 1) * TermStep }

// maxTerms raises each term to the larger one of both lists and returns the result.
func maxTerms(terms, other []uint64) []uint64 {
	for i, term := range other {
		if i >= len(terms) {
			terms = append(terms, term)
		} else {
			terms[i] = max(terms[i], term)
		}
	}
	return terms
}
