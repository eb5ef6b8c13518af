// Package watcher connects a host to the registry: the Watcher follows its changes, the Announcer
// keeps the host's own entry alive, and the Reporter writes suspicions to it.
package watcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/follower"
	"wigeonspindle.example/wigeonspindle/internal/state/registrar"
	"wigeonspindle.example/wigeonspindle/internal/transport/sharer"
)

// Intervals and timeouts of calls to the registry and to relays. Those that decide how soon a change is in force stand in
// package follower.
const (
	// callTimeout bounds a call to the registry in addition to the wait; a slow registry takes
	// 250 ms. A listing, which takes several calls, has listTimeout.
	callTimeout = time.Second
	listTimeout = 2 * time.Second
	// retryInterval is the time until the first retry when the registry does not answer. It grows
	// with each failure, up to maxRetryInterval.
	retryInterval    = 400 * time.Millisecond
	maxRetryInterval = time.Second
	// relayInterval is the pause between requests to a relay. It limits the request rate when the
	// state of the relay changes constantly.
	relayInterval = 50 * time.Millisecond
	// restoredPause is the time until the registry is read again after it has come back from a copy, which bounds the
	// calls to one that does so again and again.
	restoredPause = 50 * time.Millisecond
	// faultLogInterval is the least time between two log lines about invalid entries. A writer of one
	// may write it again and again.
	faultLogInterval = 5 * time.Second
)

// Watcher keeps the registrar up to date from a source, which is the registry or a relay: another
// host that passes on the state of the registry.
type Watcher struct {
	Registry  wigeonspindle.Registry
	Registrar *registrar.Registrar
	Clock     wigeonspindle.Clock
	Logger    *log.Logger
	// Follower chooses the source.
	Follower *follower.Follower
	// OnChange is called with each new deployment state.
	OnChange func(deployment *wigeonspindle.DeploymentState)
	// OnAvailable is called when the registry answers again, this host or a host that it follows.
	OnAvailable func()
	// OnCheck is called to have a call made to the registry that shows whether it answers this host. RecordAnswer is
	// called if it does.
	OnCheck func()
	// OnRestored is called when the registry has come back from a copy, which may lack what this host has written.
	OnRestored func()

	source follower.Source
	relay  *sharer.Client // relay is the followed relay, or nil if the source is the registry.
	// base is the relay from which the present state comes, or nil if it comes from the registry.
	base             *sharer.Client
	revision         uint64
	era              uint64                       // era is the latest one of the content; 0 when it is not known.
	listed           bool                         // listed reports that revision is one of base.
	down             atomic.Bool                  // down reports that the registry answers neither this host nor those that it follows.
	unavailableSince time.Time                    // unavailableSince is when the registry stopped answering; zero while it answers.
	faultLoggedAt    time.Time                    // faultLoggedAt is when an invalid entry was last logged.
	answers          atomic.Pointer[answerSeries] // answers is the current series of the other calls of this host; nil after a failure.
	failures         int                          // failures counts consecutive failed calls to the registry.
	worker
}

// Down reports whether the registry answers neither this host nor the hosts that it follows.
func (w *Watcher) Down() bool { return w.down.Load() }

// answerSeries is a series of calls of this host to the registry that were all answered.
type answerSeries struct{ first, last time.Time }

// RecordAnswer records that the registry has answered a call of this host that is not one of the watcher's.
func (w *Watcher) RecordAnswer() {
	series := answerSeries{first: w.Clock.Now()}
	series.last = series.first
	if known := w.answers.Load(); known != nil {
		series.first = known.first
	}
	w.answers.Store(&series)
}

// RecordFailure records that the registry has not answered such a call, or has lost what it knew of this host.
func (w *Watcher) RecordFailure() { w.answers.Store(nil) }

// answeredThroughout reports whether the registry has answered all calls of this host from before a time until MaxAge
// after it. Relays that had no state meanwhile had lost the registry, which itself was not away.
func (w *Watcher) answeredThroughout(seen time.Time) bool {
	series := w.answers.Load()
	return series != nil && series.first.Before(seen) && series.last.Sub(seen) >= follower.MaxAge
}

// Run starts the watcher.
func (w *Watcher) Run() {
	w.start(func(ctx context.Context) {
		for ctx.Err() == nil {
			sleep(ctx, w.step(ctx))
		}
		w.dropRelay()
		w.setBase()
	})
}

// step makes one call to the source and returns the time until the next step.
func (w *Watcher) step(ctx context.Context) time.Duration {
	started := w.Clock.Now()
	state := w.Registrar.State()
	if answers := w.answers.Load(); answers != nil {
		w.Follower.RecordAnswer(answers.last)
	}
	source := w.Follower.Choose(state.Peers, state.RegistrySeen, started)
	if source.Check && w.OnCheck != nil {
		w.OnCheck()
	}
	if source.Wait > 0 {
		return source.Wait
	}
	w.setSource(source)
	batch, err := w.fetch(ctx)
	now := w.Clock.Now()
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, wigeonspindle.ErrCompacted):
		w.Logger.Warn("source no longer has the changes since this revision; reading its whole state", "revision", w.revision, "source", w.sourceName())
		w.listed = false
		return 0
	case errors.Is(err, wigeonspindle.ErrRestored):
		w.Logger.Warn("source no longer has this revision, because the registry has come back from a copy; reading its whole state", "revision", w.revision, "source", w.sourceName())
		w.listed = false
		return restoredPause
	case err != nil:
		return w.handleError(err, started, now)
	}
	w.Follower.RecordRead(w.source, now)
	w.applyBatch(batch, now)
	w.setDown(false)
	if w.relay != nil {
		return relayInterval
	}
	w.markAvailable(now)
	return max(follower.PollInterval-now.Sub(started), 0)
}

// setSource changes the source.
func (w *Watcher) setSource(source follower.Source) {
	w.source = source
	if source.Relay != nil && w.relay != nil && w.relay.Peer == *source.Relay {
		return
	}
	w.dropRelay()
	switch {
	case source.Relay == nil:
	case w.base != nil && w.base.Peer == *source.Relay:
		w.relay = w.base
	default:
		w.relay = &sharer.Client{Peer: *source.Relay, Clock: w.Clock}
	}
}

// continues reports whether the source can tell the changes since the present state, which comes from it.
func (w *Watcher) continues() bool { return w.listed && w.relay == w.base }

// dropRelay closes the connection to the followed relay, unless the present state comes from it.
func (w *Watcher) dropRelay() {
	if w.relay != nil && w.relay != w.base {
		w.relay.Close()
	}
	w.relay = nil
}

// setBase records that the present state comes from the current source.
func (w *Watcher) setBase() {
	if w.base != nil && w.base != w.relay {
		w.base.Close()
	}
	w.base = w.relay
}

// setDown records whether the registry answers.
func (w *Watcher) setDown(down bool) {
	if w.down.Swap(down) && !down && w.OnAvailable != nil {
		w.OnAvailable()
	}
}

// sourceName returns the name of the source for logs.
func (w *Watcher) sourceName() string {
	if w.relay != nil {
		return w.relay.Peer.Name
	}
	return "registry"
}

func (w *Watcher) fetch(ctx context.Context) (wigeonspindle.RegistryBatch, error) {
	var source wigeonspindle.RegistryReader = w.Registry
	wait, timeout := follower.RegistryWait, follower.RegistryWait+callTimeout
	switch {
	case w.relay != nil:
		source, wait, timeout = w.relay, w.source.Timeout-follower.RelayPatience, w.source.Timeout
	case !w.continues():
		timeout = listTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var batch wigeonspindle.RegistryBatch
	var err error
	if w.continues() {
		batch, err = source.Follow(ctx, w.revision, wait)
	} else {
		batch, err = source.List(ctx)
	}
	if err == nil && (batch.Age > follower.MaxAge || batch.Era != 0 && batch.Era < w.era) {
		err = wigeonspindle.ErrStale // A relay with content of an earlier era has not read the registry since.
	}
	if w.relay == nil && batch.Era == w.era && w.answeredThroughout(w.Registrar.State().RegistrySeen) {
		batch.Settled = true // There was no outage, so what the content lacks is gone.
	}
	return batch, err
}

// handleError records a failed call and returns the time until the next step.
func (w *Watcher) handleError(err error, started, now time.Time) time.Duration {
	w.Follower.RecordFailure(w.source, err, now)
	if w.relay != nil {
		switch {
		case errors.Is(err, wigeonspindle.ErrUnsettled):
			w.setDown(false)
			w.Registrar.MarkUnavailable() // What the registry lacks when this host asks it may still return.
		case errors.Is(err, wigeonspindle.ErrStale):
			w.setDown(true)
			w.Registrar.MarkUnavailable()
		}
		w.Logger.Warn("failed to read registry state from another host", "source", w.sourceName(), "error", err)
		return 0
	}
	w.setDown(true)
	if w.Registrar.MarkUnavailable() {
		w.unavailableSince = started
		w.Logger.Warn("registry unavailable", "revision", w.revision, "error", err)
	}
	w.failures++
	return min(retryInterval*time.Duration(w.failures), maxRetryInterval)
}

func (w *Watcher) applyBatch(batch wigeonspindle.RegistryBatch, now time.Time) {
	previous := w.Registrar.State()
	var deployment *wigeonspindle.DeploymentState
	if w.continues() {
		deployment = w.Registrar.Apply(batch, now)
	} else {
		deployment = w.Registrar.Replace(batch, now)
		w.listed = true
		w.Logger.Info("read the whole registry state", "source", w.sourceName(), "revision", batch.Revision, "entries", len(batch.Updates), "registry_state_age", batch.Age,
			"settled", batch.Settled)
	}
	w.revision = batch.Revision
	w.setBase()
	w.recordEra(batch.Era)
	w.logFaults(batch.Updates, now)
	w.Follower.Prune(deployment.Peers)
	w.logUpdates(registrar.Diff(previous, deployment))
	w.OnChange(deployment)
}

// recordEra records the era of the content, and reports a registry that has come back from a copy.
func (w *Watcher) recordEra(era uint64) {
	if era <= w.era {
		return
	}
	if w.era != 0 {
		w.Logger.Warn("registry has come back from a copy", "era", era, "era_before", w.era, "source", w.sourceName(), "revision", w.revision)
		if w.OnRestored != nil {
			w.OnRestored()
		}
	}
	w.era = era
}

// logFaults logs the first invalid entry and how many there are.
func (w *Watcher) logFaults(updates []wigeonspindle.RegistryUpdate, now time.Time) {
	first, count := -1, 0
	for i := range updates {
		if updates[i].Fault != "" {
			count++
			if first < 0 {
				first = i
			}
		}
	}
	if count == 0 || now.Sub(w.faultLoggedAt) < faultLogInterval {
		return
	}
	w.faultLoggedAt = now
	w.Logger.Warn("ignored invalid entries of the registry", "entries", count, "first", fmt.Sprintf("%.200q", updates[first].Name),
		"fault", updates[first].Fault, "source", w.sourceName(), "revision", w.revision)
}

func (w *Watcher) markAvailable(now time.Time) {
	w.failures = 0
	if !w.unavailableSince.IsZero() {
		w.Logger.Info("registry available again", "outage", now.Sub(w.unavailableSince))
		w.unavailableSince = time.Time{}
	}
}

func (w *Watcher) logUpdates(updates []wigeonspindle.RegistryUpdate) {
	for i := range updates {
		update := &updates[i]
		switch update.Subject {
		case wigeonspindle.SubjectCatalog:
			w.Logger.Info("new configuration in force", "config_version", update.Catalog.Version, "routes", len(update.Catalog.Routes),
				"source", w.sourceName(), "revision", w.revision)
		case wigeonspindle.SubjectDomain:
			w.Logger.Warn("failure domain taken out of service or brought back", "domain", update.Name, "out_of_service", !update.Removed, "source", w.sourceName(), "revision", w.revision)
		case wigeonspindle.SubjectPeer:
			w.Logger.Info("registry entry of a host changed", "peer", update.Name, "removed", update.Removed, "source", w.sourceName(), "revision", w.revision)
		case wigeonspindle.SubjectSuspicion:
			w.Logger.Warn("registry entry changed: suspicion that a call crashes replicas", "fingerprint", update.Name, "removed", update.Removed, "score", update.Suspicion.Score,
				"replica", update.Suspicion.Target, "source", w.sourceName(), "revision", w.revision)
		case wigeonspindle.SubjectReplica:
			fields := []any{"replica", update.Name, "removed", update.Removed, "source", w.sourceName(), "revision", w.revision}
			if replica := update.Replica; replica != nil {
				fields = append(fields, "pool", replica.Pool, "address", replica.Address, "domain", replica.Domain,
					"draining", replica.Draining, "entry_sequence", replica.Sequence)
			}
			w.Logger.Info("registry entry of a replica changed", fields...)
		}
	}
}
