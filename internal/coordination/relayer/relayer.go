// Package relayer decides how the configuration and the overrides are distributed: which hosts
// watch the store, from which peer a host pulls a newer configuration, and which targets
// receive no new work. Methods take the time as an argument, so that a trace replays exactly.
package relayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// WatchersPerDomain is the number of hosts of a failure domain that watch the store. The
	// second covers the time until the loss of the first is detected.
	WatchersPerDomain = 2
	// PullTimeout is how long a host waits for the delta before it asks another peer.
	PullTimeout = time.Second
	// pullRetryDelay is how long a peer that did not answer a pull is not asked again.
	pullRetryDelay = 3 * time.Second
	// WatchDelay is how long a started host waits for heartbeats of peers before it may watch
	// the store, so that after a restart of many hosts not all of them start a watch.
	WatchDelay = 2 * wigeonspindle.HeartbeatPeriod
)

// Relayer holds the configuration revisions of the peers and the state of the pull in flight.
type Relayer struct {
	Self    wigeonspindle.Host
	Started time.Time // Started is when the host started.

	revisions   map[string]wigeonspindle.Revision
	timedOutAt  map[string]time.Time
	pullPeer    string
	pullStarted time.Time
}

// ShouldWatch reports whether this host should watch the store. Hosts are ranked by rendezvous
// hashing, so that all hosts of a domain choose the same watchers and the loss of a host moves
// at most one watch.
func (r *Relayer) ShouldWatch(view *wigeonspindle.MembershipView, now time.Time) bool {
	if now.Sub(r.Started) < WatchDelay {
		return false
	}
	own := rendezvousWeight(r.Self.Domain, r.Self.Name)
	higher := 0
	for _, member := range view.Members {
		host := member.Host
		if host.Name == r.Self.Name {
			if member.Condition == wigeonspindle.ConditionLeaving {
				return false
			}
			continue
		}
		if member.Condition == wigeonspindle.ConditionLive && host.Domain == r.Self.Domain && rendezvousWeight(host.Domain, host.Name) > own {
			higher++
		}
	}
	return higher < WatchersPerDomain
}

func rendezvousWeight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// SetPeerRevision records the revision in a peer's heartbeat.
func (r *Relayer) SetPeerRevision(peer string, revision wigeonspindle.Revision) {
	if r.revisions == nil {
		r.revisions = make(map[string]wigeonspindle.Revision)
		r.timedOutAt = make(map[string]time.Time)
	}
	r.revisions[peer] = revision
}

// PullAnswered records that a delta arrived, whether or not it was newer.
func (r *Relayer) PullAnswered() { r.pullPeer = "" }

// Pull returns the peer to ask for the changes since the host's own revision, if a peer has a
// newer revision and no pull is in flight.
func (r *Relayer) Pull(view *wigeonspindle.MembershipView, own wigeonspindle.Revision, now time.Time) (string, bool) {
	if r.pullPeer != "" {
		if now.Sub(r.pullStarted) < PullTimeout {
			return "", false
		}
		r.timedOutAt[r.pullPeer] = now
		r.pullPeer = ""
	}
	var candidates []string
	for _, member := range view.Members {
		name := member.Host.Name
		if member.Condition != wigeonspindle.ConditionLive && member.Condition != wigeonspindle.ConditionLeaving || r.revisions[name] <= own {
			continue
		}
		if lastTimeout, ok := r.timedOutAt[name]; ok && now.Sub(lastTimeout) < pullRetryDelay {
			continue
		}
		candidates = append(candidates, name)
	}
	if len(candidates) == 0 {
		return "", false
	}
	// Hosts rank the peers differently, so that the pulls are spread over several peers.
	peer := slices.MaxFunc(candidates, func(a, b string) int {
		return cmp.Compare(rendezvousWeight(r.Self.Name, a), rendezvousWeight(r.Self.Name, b))
	})
	r.pullPeer, r.pullStarted = peer, now
	return peer, true
}

// RemoveAbsent removes the state of hosts that are not in the view.
func (r *Relayer) RemoveAbsent(view *wigeonspindle.MembershipView) {
	known := make(map[string]bool, len(view.Members))
	for _, member := range view.Members {
		known[member.Host.Name] = true
	}
	for name := range r.revisions {
		if !known[name] {
			delete(r.revisions, name)
			delete(r.timedOutAt, name)
		}
	}
}

// Bounds of the delay between failed watches, before jitter.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// Backoff returns the delay after a number of consecutive failed watches. Random, between 0 and
// 1, sets the jitter, so that the watchers do not all return to the store at the same time.
func Backoff(failures int, random float64) time.Duration {
	delay := maxBackoff
	if failures < 6 {
		delay = min(minBackoff<<max(failures-1, 0), maxBackoff)
	}
	return delay/2 + time.Duration(random*float64(delay)/2)
}
