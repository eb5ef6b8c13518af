package launcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// refusalPeriod is how long a stopping host refuses new requests before it closes the
	// listener, so that callers with open connections get a refusal with the current address
	// list instead of a connection error.
	refusalPeriod = time.Second
	// drainTimeout bounds a planned stop started by Drain.
	drainTimeout = 90 * time.Second
)

// Drain starts a planned stop of the host and returns at once.
func (h *Host) Drain() { h.beginStop(drainTimeout) }

// Done returns a channel that is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.stopped }

// Close stops the host gracefully. It announces that the host is leaving, keeps the listener
// open until address lists that name the host have expired, finishes requests in progress and
// waits for every goroutine. When ctx ends, it stops at once, even if Drain
// started the stop.
func (h *Host) Close(ctx context.Context) error {
	h.beginStop(0)
	select {
	case <-h.stopped:
	case <-ctx.Done():
		h.cancelStop()
		<-h.stopped
	}
	return h.stopErr
}

// beginStop starts the stop unless one has started. A timeout of 0 means no limit.
func (h *Host) beginStop(timeout time.Duration) {
	h.stopOnce.Do(func() {
		ctx, cancel := context.WithCancel(context.Background())
		if timeout > 0 {
			ctx, cancel = context.WithTimeout(context.Background(), timeout)
		}
		h.cancelStop = cancel
		go func() {
			defer close(h.stopped)
			defer cancel()
			h.stopErr = h.shutdown(ctx)
		}()
	})
}

func (h *Host) shutdown(ctx context.Context) error {
	h.leaving.Store(true)
	h.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventDrain, Detail: "leaving"})
	h.control.inputs.Offer(controlInput{leaving: true})
	// Address lists omit leaving hosts, and the lease loop releases the targets of this one.
	if h.sleep(ctx, wigeonspindle.DrainDelay) {
		h.refusing.Store(true)
		h.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventDrain, Detail: "refusing"})
		h.sleep(ctx, refusalPeriod)
	}
	h.refusing.Store(true)
	err := h.server.Close(ctx)
	return errors.CombineErrors(err, h.stopGoroutines())
}
