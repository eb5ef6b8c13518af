// Package follower decides from where a host reads the state of the registry: from the registry itself, from a
// relay, which is another host that passes the state on, or from nowhere for a moment. The load pattern it
// answers is an outage of the registry with hundreds of hosts: only the relays go on asking it, so that the
// calls to it grow with the number of failure domains and not with the number of hosts. Relays that have lost the
// registry while it answers others are told from an outage by the calls that each host makes to it anyway.
package follower

import (
	"errors"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Intervals and limits of the choice.
const (
	// unreachableBackoff is how long a relay is left out after it could not be reached.
	unreachableBackoff = 4 * time.Second
	// staleBackoff is how long a relay is left out after it had no state of the registry to pass on. It
	// is short, because the relay learns first when the registry answers again.
	staleBackoff = 700 * time.Millisecond
	// escalationInterval is the age of the state at which the number of relays doubles, and doubles
	// again at twice that age.
	escalationInterval = 4 * time.Second
	maxEscalations     = 2
	// escalationPeriod is how long the number of relays stays raised.
	escalationPeriod = 10 * time.Second
	// directInterval is the interval at which a host asks the registry itself while all relays that
	// it reaches have no state to pass on.
	directInterval = 20 * time.Second
	// maxUnreachable is the number of relays in a row that cannot be reached after which a host asks the
	// registry itself: the host may be cut off from the others. It does so for cutOffPeriod, then it tries the
	// relays again. An attempt that is not answered takes more than a second.
	maxUnreachable = 2
	cutOffPeriod   = 10 * time.Second
	// detourFailures is the number of failed calls in a row after which a relay looks for another
	// relay, because the registry may turn away this host only.
	detourFailures = 2
	// detourPeriod is how long a relay follows another one before it asks the registry again.
	detourPeriod = 4 * time.Second
)

// Source is where a host reads next.
type Source struct {
	// Relay is the host to read from; nil means the registry.
	Relay *wigeonspindle.Peer
	// Wait is set when there is no source: the time until the next choice.
	Wait time.Duration
	// Timeout bounds a read from a relay, which may wait for a change until RelayPatience before it.
	Timeout time.Duration
	// Check asks for a call to the registry that shows whether it answers this host, such as the renewal of a lease
	// that is due soon. RecordAnswer is called if it does.
	Check bool
}

// Follower holds what a host has observed of its sources. It is not safe for concurrent use.
type Follower struct {
	// Self is the entry of this host.
	Self wigeonspindle.Peer
	// SelectRelays returns the relays in order of preference and whether this host is one of them.
	SelectRelays func(peers []wigeonspindle.Peer, self wigeonspindle.Peer, escalations int) (relays []wigeonspindle.Peer, isRelay bool)

	relayPeers       []wigeonspindle.Peer // relayPeers and relayEscalations are those for which cachedRelays was computed.
	relayEscalations int
	cachedRelays     []wigeonspindle.Peer
	isRelay          bool
	escalated        int // escalated is the number of escalations in use until escalatedUntil.
	escalatedUntil   time.Time
	backoffs         map[string]backoff
	current          string    // current is the name of the followed relay.
	registryFailures int       // registryFailures counts failed reads of the registry in a row.
	failedAt         time.Time // failedAt is when a read of the registry last failed.
	answeredAt       time.Time // answeredAt is when the registry last answered any call of this host.
	checkedSeen      time.Time // checkedSeen is when the state for which a check was last asked for was read.
	checkedAt        time.Time // checkedAt is when it was asked.
	unreachable      int       // unreachable counts the relays in a row that could not be reached.
	cutOffUntil      time.Time // cutOffUntil is until when the registry is asked because the relays cannot be reached.
	directAt         time.Time // directAt is when the registry may be asked directly, or asked again after a detour.
}

// backoff is the time for which a relay is left out.
type backoff struct {
	until time.Time
	stale bool // stale reports that the relay was reached but had no state to pass on.
	// unsettled reports that this was because the registry has only just answered the relay again.
	unsettled bool
}

// Choose returns the source for the next read. The parameter seen is when the registry last answered this
// host or a host that it followed.
func (f *Follower) Choose(peers []wigeonspindle.Peer, seen, now time.Time) Source {
	relays, isRelay := f.relays(peers, f.escalations(seen, now))
	if isRelay && !f.detours(now) || len(relays) == 0 || f.unreachable >= maxUnreachable && now.Before(f.cutOffUntil) {
		return Source{}
	}
	var first *wigeonspindle.Peer
	stale, unsettled, next := false, false, now.Add(unreachableBackoff)
	for i := range relays {
		held := f.backoffs[relays[i].Name]
		if !now.Before(held.until) {
			if relays[i].Name == f.current {
				return Source{Relay: &relays[i], Timeout: relayTimeout(seen, now)}
			}
			if first == nil {
				first = &relays[i]
			}
			continue
		}
		stale, unsettled = stale || held.stale, unsettled || held.unsettled
		if held.until.Before(next) {
			next = held.until
		}
	}
	old := !seen.IsZero() && now.Sub(seen) >= MaxAge
	check := old && f.startCheck(seen, now)
	switch {
	case unsettled && f.registryAnswers():
		return Source{}
	case old && f.answersBeyond(seen) && (first == nil || now.Sub(seen) >= DirectAge):
		return f.chooseWithoutRelays(peers, seen, now)
	case first != nil:
		return Source{Relay: first, Timeout: relayTimeout(seen, now), Check: check}
	case isRelay || !stale:
		return Source{} // No other host can tell.
	case old && now.Sub(f.checkedAt) < RelayPatience:
		return Source{Wait: checkInterval, Check: check}
	case !now.Before(f.directAt):
		f.directAt = now.Add(directInterval)
		return Source{}
	}
	return Source{Wait: next.Sub(now)}
}

// chooseWithoutRelays returns the source of a host that the registry answers while its relays have lost it or cannot be
// reached. The hosts that are relays after all escalations ask it at once. The others give these a moment to do so, and
// then ask it themselves.
func (f *Follower) chooseWithoutRelays(peers []wigeonspindle.Peer, seen, now time.Time) Source {
	f.escalated, f.escalatedUntil = maxEscalations, now.Add(escalationPeriod)
	relays, isRelay := f.relays(peers, maxEscalations)
	left := min(seen.Add(lastRelayAge).Sub(now), RelayPatience)
	if isRelay || left < checkInterval {
		return Source{}
	}
	for i := range relays {
		held := f.backoffs[relays[i].Name]
		if !now.Before(held.until) || held.stale && held.until.Sub(now) <= staleBackoff-staleRetry {
			return Source{Relay: &relays[i], Timeout: left}
		}
	}
	return Source{Wait: checkInterval}
}

// relayTimeout returns how long a read from a relay may take: until the state of this host has MaxAge, and
// RelayPatience more.
func relayTimeout(seen, now time.Time) time.Duration {
	return max(MaxAge-now.Sub(seen), 0) + RelayPatience
}

// startCheck reports whether to find out if the registry answers this host: once for each state that has grown old.
func (f *Follower) startCheck(seen, now time.Time) bool {
	if f.checkedSeen.Equal(seen) {
		return false
	}
	f.checkedSeen, f.checkedAt = seen, now
	return true
}

// registryAnswers reports whether the registry has answered this host since a read of it last failed.
func (f *Follower) registryAnswers() bool {
	return f.registryFailures == 0 || f.answeredAt.After(f.failedAt)
}

// answersBeyond reports whether the registry has answered this host at a time when the relays should have had newer
// state. When an outage begins, no host has such an answer.
func (f *Follower) answersBeyond(seen time.Time) bool {
	return f.answeredAt.Sub(seen) >= MaxAge && f.registryAnswers()
}

// RecordAnswer records that the registry has answered a call of this host.
func (f *Follower) RecordAnswer(at time.Time) {
	if at.After(f.answeredAt) {
		f.answeredAt = at
	}
}

// detours reports whether a relay looks for another one.
func (f *Follower) detours(now time.Time) bool {
	return f.registryFailures >= detourFailures && (f.current == "" || now.Before(f.directAt))
}

// escalations returns how often the number of relays is doubled at the age of the state. It falls only
// after escalationPeriod, because the additional relays are needed as long as the usual ones are turned away.
func (f *Follower) escalations(seen, now time.Time) int {
	escalations := 0
	if !seen.IsZero() {
		escalations = min(max(int(now.Sub(seen)/escalationInterval), 0), maxEscalations)
	}
	if escalations >= f.escalated || !now.Before(f.escalatedUntil) {
		f.escalated, f.escalatedUntil = escalations, now.Add(escalationPeriod)
	}
	return f.escalated
}

// relays returns the result of SelectRelays, which it computes anew when the peers change.
func (f *Follower) relays(peers []wigeonspindle.Peer, escalations int) ([]wigeonspindle.Peer, bool) {
	same := len(peers) == len(f.relayPeers) && escalations == f.relayEscalations && (len(peers) == 0 || &peers[0] == &f.relayPeers[0])
	if !same || f.cachedRelays == nil {
		f.relayPeers, f.relayEscalations = peers, escalations
		f.cachedRelays, f.isRelay = f.SelectRelays(peers, f.Self, escalations)
	}
	return f.cachedRelays, f.isRelay
}

// RecordRead records that a read from a source has succeeded.
func (f *Follower) RecordRead(source Source, now time.Time) {
	if source.Relay == nil {
		f.current, f.registryFailures = "", 0
		f.RecordAnswer(now)
		return
	}
	f.unreachable = 0
	delete(f.backoffs, source.Relay.Name)
	switch {
	case f.registryFailures < detourFailures:
		f.directAt = now.Add(directInterval)
	case f.current != source.Relay.Name:
		f.directAt = now.Add(detourPeriod)
	}
	f.current = source.Relay.Name
}

// RecordFailure records that a read from a source has failed.
func (f *Follower) RecordFailure(source Source, err error, now time.Time) {
	f.current = ""
	if source.Relay == nil {
		f.registryFailures++
		f.failedAt = now
		f.directAt = now.Add(directInterval)
		f.unreachable = 0 // The relays are tried again.
		return
	}
	held := backoff{until: now.Add(unreachableBackoff)}
	if errors.Is(err, wigeonspindle.ErrStale) || errors.Is(err, wigeonspindle.ErrUnsettled) {
		held = backoff{until: now.Add(staleBackoff), stale: true, unsettled: errors.Is(err, wigeonspindle.ErrUnsettled)}
		f.unreachable = 0
	} else if f.unreachable++; f.unreachable >= maxUnreachable {
		f.cutOffUntil = now.Add(cutOffPeriod)
	}
	if f.backoffs == nil {
		f.backoffs = make(map[string]backoff)
	}
	f.backoffs[source.Relay.Name] = held
}

// Prune forgets the hosts that are no longer among the peers.
func (f *Follower) Prune(peers []wigeonspindle.Peer) {
	known := make(map[string]bool, len(peers))
	for _, peer := range peers {
		known[peer.Name] = true
	}
	for name := range f.backoffs {
		if !known[name] {
			delete(f.backoffs, name)
		}
	}
}
