package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// Lease times of the host's own entry.
const (
	// LeaseTTL is the time after which the entry of a crashed host expires. Until then, other
	// hosts use it and callers are directed to it.
	LeaseTTL = 4 * time.Second
	// renewInterval tolerates two failed renewals within LeaseTTL.
	renewInterval = 1300 * time.Millisecond
	// servingLeaseTTL and servingRenewInterval are those of a host to which callers are directed. Callers
	// that connect to a crashed host lose their request, so its entry expires sooner. The other hosts, which
	// are more numerous, keep the longer ones to spare the registry.
	servingLeaseTTL      = 2500 * time.Millisecond
	servingRenewInterval = 800 * time.Millisecond
	// renewTimeout bounds a renewal, so that a lost response leaves time for two more within
	// servingLeaseTTL. A slow registry takes 250 ms.
	renewTimeout = 500 * time.Millisecond
	// renewRetryInterval is the time until the first retry of a failed call. It doubles with each
	// failure, up to maxRenewRetryInterval.
	renewRetryInterval    = 400 * time.Millisecond
	maxRenewRetryInterval = 2 * time.Second
	// outageRetryInterval is the time between two attempts while the registry is known to be down.
	// Wake ends it as soon as the registry answers.
	outageRetryInterval = 5 * time.Second
	// wakeSpread is the time over which the hosts register again after an outage.
	wakeSpread = 300 * time.Millisecond
	// retryJitter is the random part of an interval, as a fraction of it.
	retryJitter = 0.25
)

// Announcer registers a host and keeps its entry in the registry alive.
type Announcer struct {
	Registry wigeonspindle.Registry
	Peer     wigeonspindle.Peer
	Logger   *log.Logger
	// Ready reports whether the host serves calls. The host is not registered before.
	Ready func() bool
	// Down reports whether the registry is known to be down.
	Down func() bool
	// Serving reports whether callers are directed to this host.
	Serving func() bool
	// OnAnswer is called when the registry has answered, and OnFailure when a call has failed or the lease has expired.
	OnAnswer, OnFailure func()

	lease    uint64
	short    bool // short reports that the lease has servingLeaseTTL.
	failures int  // failures counts consecutive failed calls.
	wakes    *queuer.Ring[struct{}]
	checks   *queuer.Ring[struct{}]
	worker
}

// Run starts the announcer.
func (a *Announcer) Run() {
	a.wakes, a.checks = queuer.New[struct{}](1), queuer.New[struct{}](1)
	a.start(func(ctx context.Context) {
		for ctx.Err() == nil {
			a.wait(ctx, a.step(ctx))
		}
	})
}

// Wake ends the wait after a failure, because the registry answers again.
func (a *Announcer) Wake() { a.wakes.Offer(struct{}{}) } // A wake that is queued already suffices.

// Check brings the next call forward to now, to find out whether the registry answers this host.
func (a *Announcer) Check() { a.checks.Offer(struct{}{}) } // A check that is queued already suffices.

// wait waits until the next step. A check ends the wait, and a wake shortens the wait after a failed call.
func (a *Announcer) wait(ctx context.Context, duration time.Duration) {
	wakes := a.wakes.C()
	if a.failures == 0 {
		wakes = nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-a.checks.C():
	case <-wakes:
		sleep(ctx, time.Duration(rand.Int64N(int64(wakeSpread))))
	}
}

// recordFailure reports a failed call.
func (a *Announcer) recordFailure() {
	if a.OnFailure != nil {
		a.OnFailure()
	}
}

// recordAnswer records that the registry has answered.
func (a *Announcer) recordAnswer() {
	a.failures = 0
	if a.OnAnswer != nil {
		a.OnAnswer()
	}
}

// retryDelay returns the time until the next attempt after a failed call.
func (a *Announcer) retryDelay() time.Duration {
	a.recordFailure()
	delay := min(renewRetryInterval<<min(a.failures, 8), maxRenewRetryInterval)
	if a.Down != nil && a.Down() {
		delay = outageRetryInterval
	}
	a.failures++
	return delay + time.Duration(retryJitter*rand.Float64()*float64(delay))
}

// Close stops the announcer, waits for it and removes the entry.
func (a *Announcer) Close() {
	a.worker.Close()
	if a.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := a.Registry.RevokeLease(ctx, a.lease); err != nil {
		a.Logger.Warn("failed to remove this host from the registry", "lease_id", a.lease, "error", err)
	}
}

// step makes at most one call to the registry and returns the time until the next step.
func (a *Announcer) step(ctx context.Context) time.Duration {
	if !a.Ready() {
		return retryInterval / 4
	}
	if a.lease == 0 || a.Serving() && !a.short {
		return a.register(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := a.Registry.RenewLease(ctx, a.lease)
	switch {
	case errors.Is(err, wigeonspindle.ErrLeaseExpired):
		a.Logger.Warn("registration of this host expired", "lease_id", a.lease)
		a.lease = 0
		a.recordFailure()
		return 0
	case err != nil:
		return a.retryDelay()
	}
	a.recordAnswer()
	return a.renewInterval()
}

// register enters the host under a new lease. An earlier lease no longer holds the entry and ends by itself.
func (a *Announcer) register(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	short, ttl := a.Serving(), LeaseTTL
	if short {
		ttl = servingLeaseTTL
	}
	lease, err := a.Registry.Register(ctx, a.Peer, ttl)
	if err != nil {
		a.Logger.Warn("failed to register this host", "failures", a.failures, "error", err)
		return a.retryDelay()
	}
	a.lease, a.short = lease, short
	a.recordAnswer()
	a.Logger.Info("registered this host", "lease_id", lease, "lease_ttl", ttl, "serving", short)
	return a.renewInterval()
}

func (a *Announcer) renewInterval() time.Duration {
	if a.short {
		return servingRenewInterval
	}
	return renewInterval
}
