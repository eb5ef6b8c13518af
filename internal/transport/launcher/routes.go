package launcher

import (
	"maps"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// handoverPeriod is how long attempts still go to the previous owner after the preferred owner
// changed, unless the previous owner releases the target earlier. It covers one renewal and
// one round of claims.
const handoverPeriod = 1500 * time.Millisecond

// expectedOwners maps targets to their expected owners while ownership changes.
type expectedOwners map[string]ownerEntry

type ownerEntry struct {
	owner wigeonspindle.Host
	// supersededAt is when another host became preferred; zero while owner is preferred.
	supersededAt time.Time
	released     bool
}

// resolve returns the host to which attempts on a target go. This is the preferred owner or,
// during a handover, the previous one while that still answers.
func (r expectedOwners) resolve(target string, preferred wigeonspindle.Host, view *wigeonspindle.MembershipView, now time.Time) (wigeonspindle.Host, bool) {
	entry := r[target]
	if preferred.Name == "" {
		_, ok := reachableHost(view, entry.owner.Incarnation)
		return entry.owner, ok && !entry.released
	}
	if entry.owner.Incarnation == preferred.Incarnation {
		entry.supersededAt = time.Time{}
	} else if entry.supersededAt.IsZero() {
		entry.supersededAt = now
	}
	_, answers := reachableHost(view, entry.owner.Incarnation)
	if entry.released || !answers || !entry.supersededAt.IsZero() && now.Sub(entry.supersededAt) >= handoverPeriod {
		entry = ownerEntry{owner: preferred}
	}
	r[target] = entry
	return entry.owner, true
}

// markReleased records that the holder released the target, which ends a handover early.
func (r expectedOwners) markReleased(target string, holder wigeonspindle.Incarnation) {
	if entry := r[target]; entry.owner.Incarnation == holder && !entry.supersededAt.IsZero() {
		entry.released = true
		r[target] = entry
	}
}

// retain removes the targets that are not in known.
func (r expectedOwners) retain(known map[string]bool) {
	maps.DeleteFunc(r, func(target string, _ ownerEntry) bool { return !known[target] })
}

// reachableHost returns the host with an incarnation and reports whether it is live or
// leaving.
func reachableHost(view *wigeonspindle.MembershipView, incarnation wigeonspindle.Incarnation) (wigeonspindle.Host, bool) {
	for _, member := range view.Members {
		if member.Host.Incarnation == incarnation {
			return member.Host, member.Condition == wigeonspindle.ConditionLive || member.Condition == wigeonspindle.ConditionLeaving
		}
	}
	return wigeonspindle.Host{}, false
}
