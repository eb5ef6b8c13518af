package watcher

import (
	"context"
	"sync"
	"time"
)

// duty is one goroutine that runs until it is closed.
type duty struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// start runs the duty; its context ends when the duty is to end.
func (d *duty) start(run func(ctx context.Context)) {
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.Background())
	d.done.Go(func() { run(ctx) })
}

// Close ends the duty and waits for it.
func (d *duty) Close() {
	d.cancel()
	d.done.Wait()
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
