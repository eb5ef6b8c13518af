package launcher

import (
	"context"
	"sync/atomic"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/limiter"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// probePeriod is the interval between load requests to a target. New work for a leaving target
// must end within 3 s even if two reports are lost.
const probePeriod = time.Second

// ownedTarget is a target that the host owns or has claimed.
type ownedTarget struct {
	loop      *targetLoop
	limiter   *limiter.Limiter
	holdingID uint64
	draining  bool      // draining is what the target last reported.
	nextWake  time.Time // nextWake is when the limiter must be advanced; zero for never.
	work      *queuer.Ring[sendWork]
	slots     int
	replies   map[wigeonspindle.AttemptID]wigeonspindle.ReplyFunc
	cancels   map[wigeonspindle.AttemptID]context.CancelFunc
	// stopSenders, when closed, stops the senders of the current ring once the ring is empty.
	stopSenders   chan struct{}
	stopProber    context.CancelFunc
	currentTarget *atomic.Pointer[wigeonspindle.Target]
	// outOfService suspends the load requests while the target's failure domain is out of
	// service.
	outOfService *atomic.Bool
}

type sendWork struct {
	ctx     context.Context
	target  wigeonspindle.Target
	attempt wigeonspindle.Attempt
}

func newOwnedTarget(loop *targetLoop, target wigeonspindle.Target, outOfService bool) *ownedTarget {
	ctx, cancel := context.WithCancel(context.Background())
	owned := &ownedTarget{
		loop: loop, limiter: &limiter.Limiter{}, stopProber: cancel,
		replies:       make(map[wigeonspindle.AttemptID]wigeonspindle.ReplyFunc),
		cancels:       make(map[wigeonspindle.AttemptID]context.CancelFunc),
		currentTarget: &atomic.Pointer[wigeonspindle.Target]{}, outOfService: &atomic.Bool{},
	}
	owned.outOfService.Store(outOfService)
	owned.configure(target)
	loop.host.start(func() { owned.runProber(ctx) })
	return owned
}

// configure applies the target's configuration. When the number of slots changes, a new ring
// with its own senders replaces the old one, whose senders finish their work and stop.
func (o *ownedTarget) configure(target wigeonspindle.Target) {
	o.limiter.Target = target
	o.currentTarget.Store(&target)
	if o.slots == target.Slots {
		return
	}
	if o.stopSenders != nil {
		close(o.stopSenders)
	}
	o.slots = target.Slots
	o.work, o.stopSenders = queuer.New[sendWork](target.Slots), make(chan struct{})
	for range target.Slots {
		work, stop := o.work, o.stopSenders
		o.loop.host.start(func() { o.runSender(work, stop) })
	}
}

// runSender sends the attempts of one slot, one at a time.
func (o *ownedTarget) runSender(ring *queuer.Ring[sendWork], stop <-chan struct{}) {
	for {
		var work sendWork
		select {
		case work = <-ring.C():
		case <-stop:
			select {
			case work = <-ring.C():
			default:
				return
			}
		}
		outcome := o.loop.host.Sender.Send(work.ctx, work.target, work.attempt)
		if !o.loop.outcomes.Put(outcome, o.loop.host.stop) {
			return
		}
	}
}

// runProber opens connections to the target ahead of need and then requests its load
// periodically.
func (o *ownedTarget) runProber(ctx context.Context) {
	sender := o.loop.host.Sender
	if connector, ok := sender.(wigeonspindle.Preconnector); ok && !o.outOfService.Load() {
		connector.Preconnect(ctx, *o.currentTarget.Load())
	}
	prober, ok := sender.(wigeonspindle.Prober)
	if !ok {
		return
	}
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		if !o.outOfService.Load() {
			o.probe(ctx, prober)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *ownedTarget) probe(ctx context.Context, prober wigeonspindle.Prober) {
	target := *o.currentTarget.Load()
	if report, err := prober.Probe(ctx, target); err == nil {
		o.loop.inputs.Offer(targetInput{report: &loadReport{target: target.Name, report: report}})
	}
}

// shutdown cancels the attempts in flight and stops the senders and the prober.
func (o *ownedTarget) shutdown() {
	for _, cancel := range o.cancels {
		cancel()
	}
	o.stopProber()
	close(o.stopSenders)
}
