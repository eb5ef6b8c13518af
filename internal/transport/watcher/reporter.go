package watcher

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// reportQueueSize bounds the queued suspicions, and those that the registry has not taken yet.
// Requests that crash replicas are rare; when many replicas crash at once, a few dozen calls are
// suspected.
const reportQueueSize = 64

// Reporter writes suspicions to the registry, from which all hosts read them. While the registry is
// unavailable it keeps them: the other hosts learn of a call that crashes replicas only from the
// registry.
type Reporter struct {
	Registry wigeonspindle.Registry
	Clock    wigeonspindle.Clock
	Logger   *log.Logger

	queue    *queuer.Ring[wigeonspindle.Suspicion]
	pending  []wigeonspindle.Suspicion // pending holds the suspicions to write.
	failures int                       // failures counts consecutive failed reports.
	worker
}

// Run starts the reporter.
func (r *Reporter) Run() {
	r.queue = queuer.New[wigeonspindle.Suspicion](reportQueueSize)
	r.start(func(ctx context.Context) {
		for ctx.Err() == nil {
			r.receive(ctx)
			r.reportNext(ctx)
		}
	})
}

// Offer queues a suspicion. It never blocks: when the queue is full, the suspicion is logged and
// dropped, because each host comes to the same suspicion after further crashes.
func (r *Reporter) Offer(suspicion wigeonspindle.Suspicion) {
	if !r.queue.Offer(suspicion) {
		r.Logger.Warn("failed to report to the registry the suspicion that a call crashes replicas", "fingerprint", suspicion.FingerprintName(), "crash", suspicion.Crash, "error", "the report queue is full")
	}
}

// receive takes suspicions from the queue while there is room for them. It waits for the first one if
// none is pending.
func (r *Reporter) receive(ctx context.Context) {
	if len(r.pending) == 0 {
		select {
		case suspicion := <-r.queue.C():
			r.add(suspicion)
		case <-ctx.Done():
			return
		}
	}
	for len(r.pending) < reportQueueSize {
		select {
		case suspicion := <-r.queue.C():
			r.add(suspicion)
		default:
			return
		}
	}
}

// add appends a suspicion to the pending ones, in place of an earlier report of the same crash.
func (r *Reporter) add(suspicion wigeonspindle.Suspicion) {
	r.pending = slices.DeleteFunc(r.pending, func(known wigeonspindle.Suspicion) bool { return known.Name() == suspicion.Name() })
	r.pending = append(r.pending, suspicion)
}

// reportNext writes the first pending suspicion. After a failure it waits, and keeps the suspicion
// until it expires.
func (r *Reporter) reportNext(ctx context.Context) {
	if len(r.pending) == 0 {
		return
	}
	suspicion := r.pending[0]
	fields := []any{"fingerprint", suspicion.FingerprintName(), "crash", suspicion.Crash, "replica", suspicion.Target, "score", suspicion.Score, "cleared", suspicion.Cleared}
	if !suspicion.Cleared && !r.Clock.Now().Before(suspicion.Expires) {
		r.Logger.Warn("failed to report to the registry the suspicion that a call crashes replicas", append(fields, "error", "the suspicion has expired")...)
		r.pending = r.pending[1:]
		return
	}
	err := r.reportOnce(ctx, suspicion)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		r.Logger.Info("reported to the registry the suspicion that a call crashes replicas", append(fields, "failures", r.failures)...)
		r.pending, r.failures = r.pending[1:], 0
		return
	}
	if r.failures++; r.failures == 1 {
		r.Logger.Warn("failed to report to the registry the suspicion that a call crashes replicas", append(fields, "pending", len(r.pending), "error", err)...)
	}
	r.pending = append(r.pending[1:], suspicion) // One that the registry rejects does not hold up the others.
	sleep(ctx, min(retryInterval*time.Duration(r.failures), maxRetryInterval))
}

func (r *Reporter) reportOnce(ctx context.Context, suspicion wigeonspindle.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Registry.ReportSuspicion(ctx, suspicion)
}
