package elector

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

// maxClaimRounds is the number of latest claims for which late grants are still accepted.
const maxClaimRounds = 3

// driftMarginDivisor sets the part of a lease, one twentieth, that the holder does not use,
// because its clock may run slower than those of the voters.
const driftMarginDivisor = 20

// Holder claims leases on targets and tracks when they end.
type Holder struct {
	Self wigeonspindle.Incarnation

	roster  wigeonspindle.Roster
	counter uint64
	rounds  []claimRound
	leases  map[string]Lease
	// releasedCounters holds the counter of the last claim before each target was released.
	releasedCounters map[string]uint64
}

// Lease is the right to use one target until a point in time.
type Lease struct {
	Target string
	Until  time.Time
	// Level is the lowest ramp level that the voters returned, or 0 if none knew one.
	Level float64
}

type claimRound struct {
	counter uint64
	sent    time.Time
	grants  map[int]wigeonspindle.Grant
}

// UpdateRoster merges a roster into the one that the holder knows.
func (h *Holder) UpdateRoster(roster wigeonspindle.Roster) {
	h.roster, _ = MergeRosters(h.roster, roster)
}

// Claim starts a round for all targets that the host wants to hold. The caller sends the claim
// to every voter. Leases are measured from now, which must be before the claim is sent.
func (h *Holder) Claim(targets []wigeonspindle.ClaimTarget, now time.Time) wigeonspindle.Claim {
	if h.counter == 0 {
		// Starts at a hash of the incarnation, so that a grant to an earlier incarnation of
		// the same host matches none of these claims.
		h.counter = xxhash.Sum64String(string(h.Self)) &^ math.MaxUint32
	}
	h.counter++
	if len(h.rounds) == maxClaimRounds {
		h.rounds = slices.Clone(h.rounds[1:])
	}
	h.rounds = append(h.rounds, claimRound{counter: h.counter, sent: now, grants: make(map[int]wigeonspindle.Grant)})
	return wigeonspindle.Claim{Holder: h.Self, Era: h.roster.Era, Counter: h.counter, Targets: targets}
}

// Grant records a voter's answer and returns the leases that it completed or extended.
func (h *Holder) Grant(grant wigeonspindle.Grant, now time.Time) []Lease {
	i := slices.IndexFunc(h.rounds, func(r claimRound) bool { return r.counter == grant.Counter })
	if i < 0 || grant.Era != h.roster.Era || grant.Seat >= len(grant.Terms) {
		return nil
	}
	round := h.rounds[i]
	if known, ok := round.grants[grant.Seat]; ok && known.Terms[grant.Seat] > grant.Terms[grant.Seat] {
		return nil
	}
	round.grants[grant.Seat] = grant
	valid, majority := h.validGrants(round)
	if len(valid) < majority {
		return nil
	}
	var changed []Lease
	for _, target := range grant.Targets {
		lease, ok := h.countGrants(target.Target, round, valid, majority)
		if !ok || !lease.Until.After(now) || !lease.Until.After(h.leases[target.Target].Until) {
			continue
		}
		if h.leases == nil {
			h.leases = make(map[string]Lease)
		}
		h.leases[target.Target] = lease
		changed = append(changed, lease)
	}
	return changed
}

// validGrants returns the grants of voters that have the highest term of their seat, as known
// from the roster and from all grants of the round. The majority is that of the largest number
// of seats among these.
func (h *Holder) validGrants(round claimRound) (valid []wigeonspindle.Grant, majority int) {
	terms := Terms(h.roster)
	for _, grant := range round.grants {
		terms = maxTerms(terms, grant.Terms)
	}
	for seat, grant := range round.grants {
		if grant.Terms[seat] == terms[seat] {
			valid = append(valid, grant)
		}
	}
	return valid, Majority(len(terms))
}

func (h *Holder) countGrants(target string, round claimRound, valid []wigeonspindle.Grant, majority int) (Lease, bool) {
	if round.counter <= h.releasedCounters[target] {
		return Lease{}, false
	}
	lease, granted := Lease{Target: target}, 0
	var shortest time.Duration
	for _, grant := range valid {
		i := slices.IndexFunc(grant.Targets, func(t wigeonspindle.ClaimTarget) bool { return t.Target == target })
		if i < 0 {
			continue
		}
		granted++
		if granted == 1 || grant.Lease < shortest {
			shortest = grant.Lease
		}
		if level := grant.Targets[i].Level; level > 0 && (lease.Level == 0 || level < lease.Level) {
			lease.Level = level
		}
	}
	lease.Until = round.sent.Add(shortest - shortest/driftMarginDivisor)
	return lease, granted >= majority
}

// Release drops the leases on targets. Grants that answer earlier claims are ignored for them.
func (h *Holder) Release(targets []wigeonspindle.ClaimTarget) wigeonspindle.Release {
	if h.releasedCounters == nil {
		h.releasedCounters = make(map[string]uint64)
	}
	for _, target := range targets {
		delete(h.leases, target.Target)
		h.releasedCounters[target.Target] = h.counter
	}
	return wigeonspindle.Release{Holder: h.Self, Counter: h.counter, Targets: targets}
}

// Lease returns the lease that the host holds on a target.
func (h *Holder) Lease(target string, now time.Time) (Lease, bool) {
	lease, ok := h.leases[target]
	return lease, ok && now.Before(lease.Until)
}

// RemoveExpired removes the leases that ended without a release and returns their targets.
func (h *Holder) RemoveExpired(now time.Time) []string {
	var expired []string
	for target, lease := range h.leases {
		if !now.Before(lease.Until) {
			delete(h.leases, target)
			expired = append(expired, target)
		}
	}
	slices.Sort(expired)
	return expired
}
