// Package watcher holds the duties that keep a host in touch with the registry: one follows
// its changes, one keeps the host's own entry alive.
package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/registrar"
)

// Constants of the duty.
const (
	// pollPeriod is the time between two requests for changes. Replicas change the registry
	// all the time, so that a request for each change would cost one call a change; the
	// tightest bound on acting on a change is 3 s.
	pollPeriod = time.Second
	// followWait is how long one request waits for a change.
	followWait = 2 * time.Second
	// callTimeout bounds a call beyond its wait; a slow registry needs a quarter of a second.
	callTimeout = time.Second
	// retryPeriod is the time between calls to a registry that does not answer.
	retryPeriod = 400 * time.Millisecond
)

// Watcher follows the registry and keeps the registrar up to date.
type Watcher struct {
	Registry  wigeonspindle.Registry
	Registrar *registrar.Registrar
	Clock     wigeonspindle.Clock
	Logger    *log.Logger
	// Changed receives each new world.
	Changed func(world *wigeonspindle.World)

	revision uint64
	listed   bool
	since    time.Time // since is when the registry stopped answering.
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Run starts the duty.
func (w *Watcher) Run() {
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		for ctx.Err() == nil {
			sleep(ctx, w.step(ctx))
		}
	}()
}

// Close ends the duty and waits for it.
func (w *Watcher) Close() {
	w.cancel()
	w.done.Wait()
}

// step makes one call and returns the time until the next one.
func (w *Watcher) step(ctx context.Context) time.Duration {
	started := w.Clock.Now()
	updates, revision, err := w.fetch(ctx)
	now := w.Clock.Now()
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, wigeonspindle.ErrCompacted):
		w.Logger.Warn("registry dropped its history", "revision", w.revision)
		w.listed = false
		return 0
	case err != nil:
		if w.Registrar.Lost() {
			w.since = started
			w.Logger.Warn("registry lost", "revision", w.revision, "error", err)
		}
		return retryPeriod
	}
	w.answered(now)
	before := w.Registrar.World()
	var world *wigeonspindle.World
	if w.listed {
		world = w.Registrar.Apply(updates, now)
	} else {
		world = w.Registrar.Replace(updates, now)
		w.listed = true
	}
	w.revision = revision
	w.report(before, world)
	w.Changed(world)
	return max(pollPeriod-now.Sub(started), 0)
}

func (w *Watcher) fetch(ctx context.Context) ([]wigeonspindle.Update, uint64, error) {
	if !w.listed {
		ctx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
		defer cancel()
		return w.Registry.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, followWait+callTimeout)
	defer cancel()
	return w.Registry.Follow(ctx, w.revision, followWait)
}

// answered notes an answer of the registry.
func (w *Watcher) answered(now time.Time) {
	if !w.since.IsZero() {
		w.Logger.Info("registry regained", "after", now.Sub(w.since))
		w.since = time.Time{}
	}
}

// report writes a line for each change of belief that matters to calls.
func (w *Watcher) report(before, after *wigeonspindle.World) {
	if after.Catalog != before.Catalog {
		w.Logger.Info("catalog in force", "catalog", after.Catalog.Version, "routes", len(after.Catalog.Routes), "revision", w.revision)
	}
	for domain := range after.Out {
		if !before.Out[domain] {
			w.Logger.Warn("failure domain out of service", "domain", domain, "revision", w.revision)
		}
	}
	for domain := range before.Out {
		if !after.Out[domain] {
			w.Logger.Info("failure domain back in service", "domain", domain, "revision", w.revision)
		}
	}
	if len(before.Peers) != len(after.Peers) {
		w.Logger.Info("hosts changed", "before", len(before.Peers), "hosts", len(after.Peers), "revision", w.revision)
	}
	w.reportReplicas(before, after)
}

func (w *Watcher) reportReplicas(before, after *wigeonspindle.World) {
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
			if !ok || previous.Draining != replica.Draining || previous.Born != replica.Born {
				w.Logger.Info("replica known", "replica", replica.ID, "pool", replica.Pool, "address", replica.Address,
					"domain", replica.Domain, "draining", replica.Draining, "sequence", replica.Sequence, "revision", w.revision)
			}
		}
	}
	for id, replica := range known {
		w.Logger.Info("replica gone", "replica", id, "pool", replica.Pool, "sequence", replica.Sequence, "revision", w.revision)
	}
}

// sleep waits for a period or the end of ctx.
func sleep(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
