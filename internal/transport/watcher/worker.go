package watcher

import (
	"context"
	"sync"
	"time"
)

// worker is a background goroutine that is stopped by cancelling its context.
type worker struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// start calls run in a goroutine; its context ends when the worker is closed.
func (w *worker) start(run func(ctx context.Context)) {
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	w.done.Go(func() { run(ctx) })
}

// Close stops the worker and waits for it.
func (w *worker) Close() {
	w.cancel()
	w.done.Wait()
}

// sleep waits for a duration or the end of ctx.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
