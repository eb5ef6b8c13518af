// Package registrar keeps a host's view of its deployment, built from the entries of the
// registry. The version of the configuration never decreases. Entries that disappear around an
// outage of the registry are kept until their owners have had time to register again.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Registrar keeps the registry's entries and publishes the deployment state built from them.
type Registrar struct {
	// RecoveryGrace is how long after the end of an outage a missing entry is kept.
	RecoveryGrace time.Duration
	// PeerTTL is the longest time for which the entry of a host that has stopped stays in the registry.
	PeerTTL time.Duration
	// SelectServing selects the hosts to which callers are sent; nil selects all.
	SelectServing func(peers []wigeonspindle.Peer) []wigeonspindle.Peer

	state    atomic.Pointer[wigeonspindle.DeploymentState]
	mutex    sync.Mutex // mutex guards the fields below.
	catalog  *wigeonspindle.Catalog
	replicas map[string]replicaEntry
	removed  map[string]removedReplica
	peers    map[string]peerEntry
	// removedPeers holds when the entries of hosts were removed.
	removedPeers map[string]time.Time
	outDomains   map[string]domainEntry
	// suspicions holds the calls that hosts suspect of crashing replicas, by name.
	suspicions        map[string]suspicionEntry
	era               uint64    // era is that of the latest content; 0 when it is not known.
	unavailable       bool      // unavailable reports that the registry does not answer.
	removalsTrustedAt time.Time // removalsTrustedAt is when removals take effect at once again.
	copyTrustedAt     time.Time // copyTrustedAt is when the copy that the registry came back from can no longer revive a removed replica.
	lastAnswer        time.Time
	// publishedAt is when the state was last built.
	publishedAt time.Time
	changes     []change // changes holds the latest differences between states.
	position    uint64   // position is the number of differences so far.
	nextChange  chan struct{}
	nextAnswer  chan struct{}
}

type replicaEntry struct {
	replica        *wigeonspindle.Replica
	removalPending bool // removalPending marks an entry that is kept until removalsTrustedAt.
}

// removedReplica is the last report of a replica whose entry was removed.
type removedReplica struct {
	replica *wigeonspindle.Replica
	at      time.Time
}

// removedRetention is how long the last report of a removed replica is kept. Reports may reach the registry
// seconds late.
const removedRetention = time.Minute

// domainEntry is a failure domain that is out of service.
type domainEntry struct {
	removalPending bool // removalPending is as in replicaEntry.
}

// suspicionEntry is a call that may crash replicas.
type suspicionEntry struct {
	suspicion wigeonspindle.Suspicion
	// lost reports that the registry came back from a copy without the entry. It is kept until it expires, because
	// the host that wrote it may be gone.
	lost bool
}

type peerEntry struct {
	peer           wigeonspindle.Peer
	removalPending bool
	// doubtedUntil is until when the host may have left: its entry was removed, and a registry that came back from a
	// copy lists it again. Unless the host lives, its lease ends by then.
	doubtedUntil time.Time
}

// State returns the current deployment state, which callers must not modify. It is never nil.
func (r *Registrar) State() *wigeonspindle.DeploymentState {
	if state := r.state.Load(); state != nil {
		return state
	}
	return &wigeonspindle.DeploymentState{}
}

// MarkUnavailable records that the registry does not answer, and reports whether it was
// available before.
func (r *Registrar) MarkUnavailable() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed := !r.unavailable
	r.unavailable = true
	return changed
}

// Apply applies changes of the registry and publishes the new state.
func (r *Registrar) Apply(batch wigeonspindle.RegistryBatch, now time.Time) *wigeonspindle.DeploymentState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recordAnswer(&batch, now)
	updates := batch.Updates
	for i := range updates {
		r.apply(&updates[i], now)
	}
	return r.publish(now)
}

// Replace applies a full list of the registry's entries, removes the entries that it lacks and
// publishes the new state. When the registry has come back from a copy, what the list lacks is kept until its
// writers have had time to write it again.
func (r *Registrar) Replace(batch wigeonspindle.RegistryBatch, now time.Time) *wigeonspindle.DeploymentState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	restored := r.era != 0 && batch.Era > r.era
	unsettled := restored && !batch.Settled // A host that passes on a settled state has waited for the writers.
	r.recordAnswer(&batch, now)
	if unsettled {
		r.removalsTrustedAt, r.copyTrustedAt = now.Add(r.RecoveryGrace), now.Add(removedRetention)
	}
	updates := batch.Updates
	listed := make(map[wigeonspindle.Subject]map[string]bool)
	for i := range updates {
		update := &updates[i]
		if listed[update.Subject] == nil {
			listed[update.Subject] = make(map[string]bool)
		}
		listed[update.Subject][update.Name] = true
	}
	for id := range r.replicas {
		if !listed[wigeonspindle.SubjectReplica][id] {
			r.apply(&wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectReplica, Name: id, Removed: true}, now)
		}
	}
	for name := range r.peers {
		if !listed[wigeonspindle.SubjectPeer][name] {
			r.apply(&wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectPeer, Name: name, Removed: true}, now)
		}
	}
	for name, entry := range r.outDomains {
		switch {
		case listed[wigeonspindle.SubjectDomain][name]:
		case restored || entry.removalPending:
			r.outDomains[name] = domainEntry{removalPending: true}
		default:
			delete(r.outDomains, name)
		}
	}
	for name, entry := range r.suspicions {
		switch {
		case listed[wigeonspindle.SubjectSuspicion][name]:
		case restored || entry.lost:
			entry.lost = true
			r.suspicions[name] = entry
		default:
			delete(r.suspicions, name)
		}
	}
	for i := range updates {
		update := &updates[i]
		known, held := r.peers[update.Name]
		r.apply(update, now)
		if update.Subject == wigeonspindle.SubjectPeer && !update.Removed {
			r.doubtPeer(update.Name, known, held, unsettled, now)
		}
	}
	return r.publish(now)
}

// doubtPeer doubts a listed host whose entry was removed before the registry came back from a copy, or goes on to do
// so. Known is its entry before the list was applied, if it was held.
func (r *Registrar) doubtPeer(name string, known peerEntry, held, unsettled bool, now time.Time) {
	entry := r.peers[name]
	_, removed := r.removedPeers[name]
	switch {
	case held:
		entry.doubtedUntil = known.doubtedUntil
	case unsettled && removed:
		entry.doubtedUntil = now.Add(r.PeerTTL)
	}
	r.peers[name] = entry
}

// recordAnswer records that the registry has answered this host or the host that it follows.
func (r *Registrar) recordAnswer(batch *wigeonspindle.RegistryBatch, now time.Time) {
	if r.unavailable {
		r.unavailable = false
		r.removalsTrustedAt = now.Add(r.RecoveryGrace)
	}
	r.era = max(r.era, batch.Era)
	if batch.Settled {
		r.removalsTrustedAt = now // The other host has already waited for the owners to register again.
	}
	if answeredAt := now.Add(-batch.Age); answeredAt.After(r.lastAnswer) {
		r.lastAnswer = answeredAt
	}
}

// Available reports whether the registry has answered the last call.
func (r *Registrar) Available() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.unavailable
}

// Era returns the latest era of the content; 0 when it is not known.
func (r *Registrar) Era() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.era
}

// Settled reports whether other hosts can adopt the state: after an outage it holds no entry
// that is kept only until its owner has had time to register again.
func (r *Registrar) Settled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.unavailable && !r.publishedAt.Before(r.removalsTrustedAt)
}

func (r *Registrar) apply(update *wigeonspindle.RegistryUpdate, now time.Time) {
	switch update.Subject {
	case wigeonspindle.SubjectCatalog:
		if update.Catalog != nil && (r.catalog == nil || update.Catalog.Version > r.catalog.Version) {
			r.catalog = update.Catalog
		}
	case wigeonspindle.SubjectReplica:
		r.applyReplica(update, now)
	case wigeonspindle.SubjectPeer:
		r.applyPeer(update, now)
	case wigeonspindle.SubjectDomain:
		if r.outDomains == nil {
			r.outDomains = make(map[string]domainEntry)
		}
		r.outDomains[update.Name] = domainEntry{}
		if update.Removed {
			delete(r.outDomains, update.Name)
		}
	case wigeonspindle.SubjectSuspicion:
		if r.suspicions == nil {
			r.suspicions = make(map[string]suspicionEntry)
		}
		r.suspicions[update.Name] = suspicionEntry{suspicion: update.Suspicion}
		if update.Removed {
			delete(r.suspicions, update.Name)
		}
	}
}

func (r *Registrar) applyReplica(update *wigeonspindle.RegistryUpdate, now time.Time) {
	if r.replicas == nil {
		r.replicas, r.removed = make(map[string]replicaEntry), make(map[string]removedReplica)
	}
	known, ok := r.replicas[update.Name]
	switch {
	case update.Removed && ok && now.Before(r.removalsTrustedAt):
		known.removalPending = true
		r.replicas[update.Name] = known
	case update.Removed:
		if ok {
			r.removed[update.Name] = removedReplica{replica: known.replica, at: now}
		}
		delete(r.replicas, update.Name)
	case update.Replica == nil:
		delete(r.replicas, update.Name)
	case ok && isStale(known.replica, update.Replica) || !ok && r.isLate(update, now):
		// A report of an earlier run, or an older one of the same run, arrived late.
	default:
		r.replicas[update.Name] = replicaEntry{replica: update.Replica}
	}
}

// isLate reports whether a report is older than the last one of a replica whose entry was removed since, or is that
// one, which comes again when the registry comes back from a copy.
func (r *Registrar) isLate(update *wigeonspindle.RegistryUpdate, now time.Time) bool {
	last, ok := r.removed[update.Name]
	if !ok || now.Sub(last.at) >= removedRetention {
		return false
	}
	return isStale(last.replica, update.Replica) || now.Before(r.copyTrustedAt) && isSame(last.replica, update.Replica)
}

// isSame reports whether two reports are the same one of a replica.
func isSame(known, next *wigeonspindle.Replica) bool {
	return known.StartUnixMs == next.StartUnixMs && known.Sequence == next.Sequence
}

// isStale reports whether a report is older than the known one of the same replica.
func isStale(known, next *wigeonspindle.Replica) bool {
	if known.StartUnixMs != next.StartUnixMs {
		return next.StartUnixMs < known.StartUnixMs
	}
	return next.Sequence < known.Sequence
}

func (r *Registrar) applyPeer(update *wigeonspindle.RegistryUpdate, now time.Time) {
	if r.peers == nil {
		r.peers, r.removedPeers = make(map[string]peerEntry), make(map[string]time.Time)
	}
	known, ok := r.peers[update.Name]
	switch {
	case update.Removed && ok && now.Before(r.removalsTrustedAt):
		known.removalPending = true
		r.peers[update.Name] = known
	case update.Removed:
		r.removePeer(update.Name, now)
	default:
		r.peers[update.Name] = peerEntry{peer: update.Peer}
	}
}

func (r *Registrar) removePeer(name string, now time.Time) {
	if _, ok := r.peers[name]; ok {
		r.removedPeers[name] = now
		delete(r.peers, name)
	}
}

// publish builds the state from the entries, records its changes and publishes it.
func (r *Registrar) publish(now time.Time) *wigeonspindle.DeploymentState {
	r.publishedAt = now
	r.dropLost(now)
	state := &wigeonspindle.DeploymentState{
		Catalog: r.catalog, OutDomains: make(map[string]bool, len(r.outDomains)), RegistrySeen: r.lastAnswer,
		Replicas: make(map[string][]*wigeonspindle.Replica),
	}
	for name := range r.outDomains {
		state.OutDomains[name] = true
	}
	for _, entry := range r.replicas {
		state.Replicas[entry.replica.Pool] = append(state.Replicas[entry.replica.Pool], entry.replica)
	}
	for _, replicas := range state.Replicas {
		slices.SortFunc(replicas, func(a, b *wigeonspindle.Replica) int { return strings.Compare(a.ID, b.ID) })
	}
	for _, entry := range r.peers {
		if !now.Before(entry.doubtedUntil) {
			state.Peers = append(state.Peers, entry.peer)
		}
	}
	for _, entry := range r.suspicions {
		state.Suspicions = append(state.Suspicions, entry.suspicion)
		if entry.lost {
			state.UnlistedSuspicions = append(state.UnlistedSuspicions, entry.suspicion)
		}
	}
	sortSuspicions(state.Suspicions)
	sortSuspicions(state.UnlistedSuspicions)
	slices.SortFunc(state.Peers, func(a, b wigeonspindle.Peer) int { return strings.Compare(a.Name, b.Name) })
	state.ServingPeers = state.Peers
	if r.SelectServing != nil {
		state.ServingPeers = r.SelectServing(state.Peers)
	}
	r.recordChanges(Diff(r.State(), state))
	r.state.Store(state)
	r.signalAnswer()
	return state
}

func sortSuspicions(suspicions []wigeonspindle.Suspicion) {
	slices.SortFunc(suspicions, func(a, b wigeonspindle.Suspicion) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), strings.Compare(a.Crash, b.Crash))
	})
}

// dropLost drops the entries that were kept after the registry no longer listed them, when their time is over.
func (r *Registrar) dropLost(now time.Time) {
	if !now.Before(r.removalsTrustedAt) {
		for id, entry := range r.replicas {
			if entry.removalPending {
				r.removed[id] = removedReplica{replica: entry.replica, at: now}
				delete(r.replicas, id)
			}
		}
		for name, entry := range r.peers {
			if entry.removalPending {
				r.removePeer(name, now)
			}
		}
		maps.DeleteFunc(r.outDomains, func(_ string, entry domainEntry) bool { return entry.removalPending })
	}
	maps.DeleteFunc(r.removedPeers, func(_ string, at time.Time) bool { return now.Sub(at) >= removedRetention })
	maps.DeleteFunc(r.removed, func(_ string, last removedReplica) bool { return now.Sub(last.at) >= removedRetention })
	maps.DeleteFunc(r.suspicions, func(_ string, entry suspicionEntry) bool {
		return entry.lost && !now.Before(entry.suspicion.Expires)
	})
}
