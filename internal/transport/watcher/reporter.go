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

const (
	// maxWritten bounds the reports that are kept to be written again.
	maxWritten = 256
	// withdrawalRetention is how long a withdrawal is kept to be written again. Copies of the registry are seconds
	// old.
	withdrawalRetention = time.Minute
)

// Reporter writes suspicions to the registry, from which all hosts read them. While the registry is
// unavailable it keeps them: the other hosts learn of a call that crashes replicas only from the
// registry. What the registry has taken is written again when it has come back from a copy.
type Reporter struct {
	Registry wigeonspindle.Registry
	Clock    wigeonspindle.Clock
	Logger   *log.Logger

	queue    *queuer.Ring[wigeonspindle.Suspicion]
	pending  []wigeonspindle.Suspicion // pending holds the suspicions to write.
	failures int                       // failures counts consecutive failed reports.
	written  []writtenReport           // written holds what the registry has taken, the oldest first.
	restores *queuer.Ring[struct{}]
	worker
}

// writtenReport is a report that the registry has taken.
type writtenReport struct {
	suspicion wigeonspindle.Suspicion
	until     time.Time // until is when the report need not be written again.
}

// Run starts the reporter.
func (r *Reporter) Run() {
	r.queue = queuer.New[wigeonspindle.Suspicion](reportQueueSize)
	r.restores = queuer.New[struct{}](1)
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

// Restore writes all reports again that the registry has taken, because it has come back from a copy that may lack
// them. It never blocks.
func (r *Reporter) Restore() { r.restores.Offer(struct{}{}) } // One that is queued already suffices.

// receive takes suspicions from the queue while there is room for them. It waits for the first one if
// none is pending.
func (r *Reporter) receive(ctx context.Context) {
	if len(r.pending) == 0 {
		select {
		case suspicion := <-r.queue.C():
			r.add(suspicion)
		case <-r.restores.C():
			r.addWritten()
		case <-ctx.Done():
			return
		}
	}
	for len(r.pending) < reportQueueSize {
		select {
		case suspicion := <-r.queue.C():
			r.add(suspicion)
		case <-r.restores.C():
			r.addWritten()
		default:
			return
		}
	}
}

// addWritten makes the reports pending that the registry has taken, unless a later one of the same crash is.
func (r *Reporter) addWritten() {
	now, count := r.Clock.Now(), 0
	for _, report := range r.written {
		if now.Before(report.until) && !slices.ContainsFunc(r.pending, sameCrash(report.suspicion)) {
			r.pending = append(r.pending, report.suspicion)
			count++
		}
	}
	r.written = nil // They are kept again once they are written.
	if count > 0 {
		r.Logger.Info("writing suspicions again: the registry has come back from a copy", "suspicions", count)
	}
}

// keep remembers a report that the registry has taken, in place of an earlier one of the same crash.
func (r *Reporter) keep(suspicion wigeonspindle.Suspicion) {
	now := r.Clock.Now()
	report := writtenReport{suspicion: suspicion, until: suspicion.Expires}
	if suspicion.Cleared {
		report.until = now.Add(withdrawalRetention)
	}
	same := sameCrash(suspicion)
	r.written = slices.DeleteFunc(r.written, func(known writtenReport) bool { return !now.Before(known.until) || same(known.suspicion) })
	if len(r.written) >= maxWritten {
		r.written = slices.Delete(r.written, 0, 1)
	}
	r.written = append(r.written, report)
}

// sameCrash returns a function that reports whether another suspicion is about the same crash.
func sameCrash(suspicion wigeonspindle.Suspicion) func(other wigeonspindle.Suspicion) bool {
	name := suspicion.Name()
	return func(other wigeonspindle.Suspicion) bool { return other.Name() == name }
}

// add appends a suspicion to the pending ones, in place of an earlier report of the same crash.
func (r *Reporter) add(suspicion wigeonspindle.Suspicion) {
	r.pending = slices.DeleteFunc(r.pending, sameCrash(suspicion))
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
		r.keep(suspicion)
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
