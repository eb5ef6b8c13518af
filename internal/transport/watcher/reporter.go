package watcher

import (
	"context"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

const (
	// reportQueueSize bounds the queued suspicions. Requests that crash replicas are rare; when
	// many replicas crash at once, a few dozen calls are suspected.
	reportQueueSize = 64
	// reportAttempts is the number of attempts to report one suspicion.
	reportAttempts = 3
)

// Reporter writes suspicions to the registry, from which all hosts read them.
type Reporter struct {
	Registry wigeonspindle.Registry
	Clock    wigeonspindle.Clock
	Logger   *log.Logger

	queue *queuer.Ring[wigeonspindle.Suspicion]
	worker
}

// Run starts the reporter.
func (r *Reporter) Run() {
	r.queue = queuer.New[wigeonspindle.Suspicion](reportQueueSize)
	r.start(func(ctx context.Context) {
		for {
			select {
			case suspicion := <-r.queue.C():
				r.report(ctx, suspicion)
			case <-ctx.Done():
				return
			}
		}
	})
}

// Offer queues a suspicion. It never blocks: when the queue is full, the suspicion is logged and
// dropped, because each host comes to the same suspicion after further crashes.
func (r *Reporter) Offer(suspicion wigeonspindle.Suspicion) {
	if !r.queue.Offer(suspicion) {
		r.Logger.Warn("failed to report to the registry the suspicion that a call crashes replicas", "fingerprint", suspicion.Name(), "error", "the report queue is full")
	}
}

func (r *Reporter) report(ctx context.Context, suspicion wigeonspindle.Suspicion) {
	for range reportAttempts {
		err := r.reportOnce(ctx, suspicion)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.Logger.Info("reported to the registry the suspicion that a call crashes replicas", "fingerprint", suspicion.Name(),
				"replica", suspicion.Target, "score", suspicion.Score, "cleared", suspicion.Cleared)
			return
		}
		r.Logger.Warn("failed to report to the registry the suspicion that a call crashes replicas", "fingerprint", suspicion.Name(), "error", err)
		sleep(ctx, retryInterval)
	}
}

func (r *Reporter) reportOnce(ctx context.Context, suspicion wigeonspindle.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Registry.ReportSuspicion(ctx, suspicion, r.Clock.Now())
}
