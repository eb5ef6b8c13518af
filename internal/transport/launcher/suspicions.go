package launcher

import (
	"fmt"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

// recordCrash counts a target's crash against a fingerprint and informs the cell.
func (l *queryLoop) recordCrash(attempt *wigeonspindle.Attempt, outcome wigeonspindle.Outcome, now time.Time) {
	rules := l.rules()
	entry, added := l.quarantiner.RecordCrash(quarantiner.Fingerprint{Hash: attempt.Fingerprint}, attempt.Shard, outcome.Target, outcome.ConcurrentAttempts, attempt.Exclusive, rules.Expiry.Value(), now)
	if added {
		l.broadcastSuspicion(entry)
		l.stopQuarantined(entry, now)
	}
}

// clearSuspicion clears a fingerprint whose attempt completed alone on a target of a shard and
// informs the cell.
func (l *queryLoop) clearSuspicion(fingerprint uint64, shard, target string, now time.Time) {
	for _, entry := range l.quarantiner.RecordCompletion(fingerprint, shard, target, now) {
		l.broadcastSuspicion(entry)
	}
}

// mergeSuspicion merges an entry from another host or query loop.
func (l *queryLoop) mergeSuspicion(entry wigeonspindle.Suspicion) {
	now := l.host.Clock.Now()
	l.quarantiner.Merge(entry, now)
	l.stopQuarantined(entry, now)
}

// stopQuarantined stops the running queries with the entry's fingerprint if it is quarantined.
func (l *queryLoop) stopQuarantined(entry wigeonspindle.Suspicion, now time.Time) {
	if l.quarantiner.State(entry.Fingerprint, now) != quarantiner.Quarantined {
		return
	}
	l.host.recorder.Record(wigeonspindle.Event{
		Kind: wigeonspindle.EventQuarantine, Target: entry.Target, Detail: fmt.Sprintf("fingerprint %016x", entry.Fingerprint),
	})
	for _, running := range l.running {
		if running.query.Fingerprint == entry.Fingerprint {
			l.execute(running, running.coordinator.Stop(wigeonspindle.CodeQuarantined, "the request has crashed targets", now))
		}
	}
}

// broadcastSuspicion sends an entry to the other query loops of this host and to the other
// hosts.
func (l *queryLoop) broadcastSuspicion(entry wigeonspindle.Suspicion) {
	for _, loop := range l.host.queries {
		if loop != l {
			loop.offerSuspicion(entry)
		}
	}
	for _, member := range l.host.view.Load().Members {
		if member.Host.Name == l.host.self.Name || member.Condition == wigeonspindle.ConditionGone {
			continue
		}
		if !l.host.send(member.Host.Name, wigeonspindle.Envelope{Suspicion: &entry}) {
			l.host.Meter.CountDrop("suspicions")
		}
	}
}

// sendSuspicions sends all entries to a host whose link is ready again, because it may have
// missed some. Only one loop does so, because all loops of a host hold the same entries.
func (l *queryLoop) sendSuspicions(peer string) {
	for _, entry := range l.quarantiner.Suspicions(l.host.Clock.Now()) {
		if !l.host.send(peer, wigeonspindle.Envelope{Suspicion: &entry}) {
			l.host.Meter.CountDrop("suspicions")
		}
	}
}

func (l *queryLoop) offerSuspicion(entry wigeonspindle.Suspicion) bool {
	if l.outcomes.Offer(outcomeInput{suspicion: &entry}) {
		return true
	}
	l.host.Meter.CountDrop("outcomes")
	return false
}

// routeSuspicion passes an entry from another host to every query loop.
func (h *Host) routeSuspicion(entry wigeonspindle.Suspicion) bool {
	delivered := true
	for _, loop := range h.queries {
		delivered = loop.offerSuspicion(entry) && delivered
	}
	return delivered
}
