package registrar

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// maxChanges is the number of changes that are kept for hosts that follow this one. A host
// that is further behind must fetch the full state.
const maxChanges = 2048

// change is one difference between two states.
type change struct {
	position uint64
	update   wigeonspindle.RegistryUpdate
}

// ChangesSince returns the changes after a position and the position of the last one. known is
// false when the changes are no longer held. The channel is closed at the next change.
func (r *Registrar) ChangesSince(after uint64) (updates []wigeonspindle.RegistryUpdate, position uint64, known bool, next <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.nextChange == nil {
		r.nextChange = make(chan struct{})
	}
	if after > r.position || len(r.changes) > 0 && after+1 < r.changes[0].position {
		return nil, r.position, false, r.nextChange
	}
	for _, change := range r.changes {
		if change.position > after {
			updates = append(updates, change.update)
		}
	}
	return updates, r.position, true, r.nextChange
}

// AllUpdates returns the current state as updates, and the position from which to follow.
func (r *Registrar) AllUpdates() (updates []wigeonspindle.RegistryUpdate, position uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.state.Load(); state != nil {
		updates = Diff(&wigeonspindle.DeploymentState{}, state)
	}
	return updates, r.position
}

// recordChanges stores the changes that a new state brings and wakes the goroutines that wait
// for them.
func (r *Registrar) recordChanges(updates []wigeonspindle.RegistryUpdate) {
	if len(updates) == 0 {
		return
	}
	for _, update := range updates {
		r.position++
		r.changes = append(r.changes, change{position: r.position, update: update})
	}
	if excess := len(r.changes) - maxChanges; excess > 0 {
		r.changes = append([]change(nil), r.changes[excess:]...)
	}
	if r.nextChange != nil {
		close(r.nextChange)
		r.nextChange = nil
	}
}

// NextAnswer returns a channel that is closed at the next answer of the registry, with or without changes.
func (r *Registrar) NextAnswer() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.nextAnswer == nil {
		r.nextAnswer = make(chan struct{})
	}
	return r.nextAnswer
}

// signalAnswer wakes the goroutines that wait for an answer.
func (r *Registrar) signalAnswer() {
	if r.nextAnswer != nil {
		close(r.nextAnswer)
		r.nextAnswer = nil
	}
}

// Diff returns the updates that turn one state into another. It omits reports of a replica
// that differ only in their sequence.
func Diff(before, after *wigeonspindle.DeploymentState) []wigeonspindle.RegistryUpdate {
	var updates []wigeonspindle.RegistryUpdate
	if after.Catalog != before.Catalog && after.Catalog != nil {
		updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectCatalog, Catalog: after.Catalog})
	}
	updates = append(updates, diffDomains(before, after)...)
	updates = append(updates, diffPeers(before, after)...)
	updates = append(updates, diffSuspicions(before, after)...)
	return append(updates, diffReplicas(before, after)...)
}

func diffDomains(before, after *wigeonspindle.DeploymentState) []wigeonspindle.RegistryUpdate {
	var updates []wigeonspindle.RegistryUpdate
	for domain := range after.OutDomains {
		if !before.OutDomains[domain] {
			updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectDomain, Name: domain})
		}
	}
	for domain := range before.OutDomains {
		if !after.OutDomains[domain] {
			updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectDomain, Name: domain, Removed: true})
		}
	}
	return updates
}

func diffPeers(before, after *wigeonspindle.DeploymentState) []wigeonspindle.RegistryUpdate {
	var updates []wigeonspindle.RegistryUpdate
	known := make(map[string]wigeonspindle.Peer, len(before.Peers))
	for _, peer := range before.Peers {
		known[peer.Name] = peer
	}
	for _, peer := range after.Peers {
		previous, ok := known[peer.Name]
		delete(known, peer.Name)
		if !ok || previous != peer {
			updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectPeer, Name: peer.Name, Peer: peer})
		}
	}
	for name := range known {
		updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectPeer, Name: name, Removed: true})
	}
	return updates
}

func diffSuspicions(before, after *wigeonspindle.DeploymentState) []wigeonspindle.RegistryUpdate {
	var updates []wigeonspindle.RegistryUpdate
	known := make(map[string]wigeonspindle.Suspicion, len(before.Suspicions))
	for _, suspicion := range before.Suspicions {
		known[suspicion.Name()] = suspicion
	}
	for _, suspicion := range after.Suspicions {
		name := suspicion.Name()
		previous, ok := known[name]
		delete(known, name)
		if !ok || previous.Score != suspicion.Score {
			updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectSuspicion, Name: name, Suspicion: suspicion})
		}
	}
	for name := range known {
		updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectSuspicion, Name: name, Removed: true})
	}
	return updates
}

func diffReplicas(before, after *wigeonspindle.DeploymentState) []wigeonspindle.RegistryUpdate {
	var updates []wigeonspindle.RegistryUpdate
	known := make(map[string]*wigeonspindle.Replica)
	for _, replicas := range before.Replicas {
		for _, replica := range replicas {
			known[replica.ID] = replica
		}
	}
	for _, replicas := range after.Replicas {
		for _, replica := range replicas {
			previous, ok := known[replica.ID]
			delete(known, replica.ID)
			if !ok || previous != replica && isSignificant(previous, replica, after.RegistrySeen) {
				updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectReplica, Name: replica.ID, Replica: replica})
			}
		}
	}
	for id := range known {
		updates = append(updates, wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectReplica, Name: id, Removed: true})
	}
	return updates
}

// isSignificant reports whether a report changes more than the sequence of a live replica.
func isSignificant(previous, next *wigeonspindle.Replica, now time.Time) bool {
	return previous.Pool != next.Pool || previous.Address != next.Address || previous.Domain != next.Domain ||
		previous.Slots != next.Slots || previous.Draining != next.Draining || previous.StartUnixMs != next.StartUnixMs ||
		now.Before(next.WarmAt) // The report of a cold replica states how long it stays cold.
}
