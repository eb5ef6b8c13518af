package launcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// refusePeriod is how long a stopping host refuses new requests before it closes the
	// listener. A caller that uses an open connection then reads a refusal with the current
	// list instead of a broken connection.
	refusePeriod = time.Second
	// drainTimeout bounds a planned stop that Drain started.
	drainTimeout = 90 * time.Second
)

// Drain starts a planned stop of the host and returns at once.
func (h *Host) Drain() { h.beginStop(drainTimeout) }

// Done is closed when a planned stop has ended.
func (h *Host) Done() <-chan struct{} { return h.stopped }

// Close stops the host gracefully: it announces that it leaves, keeps its listener until
// address answers that name it have expired, finishes its requests and waits for every
// duty. It stops at once when ctx ends, also a stop that Drain began.
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

// beginStop starts the stop once. A timeout of zero sets no limit.
func (h *Host) beginStop(timeout time.Duration) {
	h.stopping.Do(func() {
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
	h.control.inputs.Offer(controlInput{leave: true})
	// Leaving hosts are no longer listed, and the lease loop releases their targets.
	if h.pause(ctx, wigeonspindle.DrainDelay) {
		h.refusing.Store(true)
		h.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventDrain, Detail: "refusing"})
		h.pause(ctx, refusePeriod)
	}
	h.refusing.Store(true)
	err := h.server.Close(ctx)
	return errors.CombineErrors(err, h.stopDuties())
}
