package launcher

import (
	"context"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/limiter"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// Bounds of the rings of a target loop.
const (
	inputsSize = 8192
	doneSize   = 1024
)

// targetLoop is the duty that starts attempts on the targets that this host owns. It alone
// owns their limiters.
type targetLoop struct {
	host   *Host
	inputs *queuer.Ring[targetInput]
	done   *queuer.Ring[wigeonspindle.Outcome]
	owned  map[string]*ownedTarget
}

// targetInput is one message to a target loop. Exactly one of attempt, cancel and lease is
// set.
type targetInput struct {
	attempt *wigeonspindle.Attempt
	reply   wigeonspindle.Reply
	cancel  *wigeonspindle.Cancel
	lease   *targetLease
}

// targetLease gives the loop a lease on a target or, with a zero Until, takes it away.
type targetLease struct {
	target wigeonspindle.Target
	until  time.Time
}

type ownedTarget struct {
	limiter *limiter.Limiter
	work    *queuer.Ring[sendWork]
	replies map[wigeonspindle.AttemptID]wigeonspindle.Reply
	cancels map[wigeonspindle.AttemptID]context.CancelFunc
	stop    chan struct{}
}

type sendWork struct {
	ctx     context.Context
	attempt wigeonspindle.Attempt
}

func newTargetLoop(host *Host) *targetLoop {
	return &targetLoop{
		host:   host,
		inputs: queuer.New[targetInput](inputsSize),
		done:   queuer.New[wigeonspindle.Outcome](doneSize),
		owned:  make(map[string]*ownedTarget),
	}
}

func (l *targetLoop) run() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.host.stop:
			for _, owned := range l.owned {
				l.drop(owned)
			}
			return
		case input := <-l.inputs.C():
			l.input(input)
		case outcome := <-l.done.C():
			l.finish(outcome)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *targetLoop) input(input targetInput) {
	switch {
	case input.lease != nil:
		l.lease(*input.lease)
	case input.attempt != nil:
		l.offer(*input.attempt, input.reply)
	case input.cancel != nil:
		l.cancel(*input.cancel)
	}
}

func (l *targetLoop) lease(lease targetLease) {
	owned := l.owned[lease.target.Name]
	if owned == nil {
		owned = &ownedTarget{
			limiter: &limiter.Limiter{}, work: queuer.New[sendWork](lease.target.Slots),
			replies: make(map[wigeonspindle.AttemptID]wigeonspindle.Reply),
			cancels: make(map[wigeonspindle.AttemptID]context.CancelFunc),
			stop:    make(chan struct{}),
		}
		l.owned[lease.target.Name] = owned
		for range lease.target.Slots {
			l.host.start(func() { l.send(lease.target, owned) })
		}
	}
	owned.limiter.Target, owned.limiter.Until = lease.target, lease.until
}

// send is the duty of one slot of a target: it runs one attempt at a time.
func (l *targetLoop) send(target wigeonspindle.Target, owned *ownedTarget) {
	for {
		select {
		case <-owned.stop:
			return
		case work := <-owned.work.C():
			outcome := l.host.Sender.Send(work.ctx, target, work.attempt)
			if !l.done.Put(outcome, l.host.stop) {
				return
			}
		}
	}
}

func (l *targetLoop) offer(attempt wigeonspindle.Attempt, reply wigeonspindle.Reply) {
	owned := l.owned[attempt.Target]
	if owned == nil {
		l.answer(failed(attempt, wigeonspindle.NotRun, wigeonspindle.CodeNotOwner, "the host does not own the target"), reply)
		return
	}
	if !l.host.placement.Load().Open(owned.limiter.Target) {
		l.answer(failed(attempt, wigeonspindle.NotRun, wigeonspindle.CodeLeaving, "the target receives no new work"), reply)
		return
	}
	if refusal := owned.limiter.Offer(attempt, l.host.Clock.Now()); refusal != nil {
		l.answer(failed(attempt, refusal.Verdict, refusal.Code, refusal.Message), reply)
		return
	}
	owned.replies[attempt.ID] = reply
	l.advance(owned)
}

// advance starts every attempt that may start now.
func (l *targetLoop) advance(owned *ownedTarget) {
	for {
		attempt, ok := owned.limiter.Next(l.host.Clock.Now())
		if !ok {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		owned.cancels[attempt.ID] = cancel
		// The ring has room because the limiter starts at most one attempt per slot.
		owned.work.Offer(sendWork{ctx: ctx, attempt: attempt})
	}
}

func (l *targetLoop) finish(outcome wigeonspindle.Outcome) {
	owned := l.owned[outcome.Target]
	if owned == nil {
		return
	}
	if outcome.Code == wigeonspindle.CodeLeaving {
		l.host.reportTarget(outcome.Target, true)
	}
	owned.limiter.Done(outcome, l.host.Clock.Now())
	if cancel := owned.cancels[outcome.ID]; cancel != nil {
		cancel()
		delete(owned.cancels, outcome.ID)
	}
	outcome.Load = owned.limiter.Load()
	if reply := owned.replies[outcome.ID]; reply != nil {
		delete(owned.replies, outcome.ID)
		l.answer(outcome, reply)
	}
	l.advance(owned)
}

func (l *targetLoop) cancel(cancel wigeonspindle.Cancel) {
	owned := l.owned[cancel.Target]
	if owned == nil {
		return
	}
	if running := owned.limiter.Cancel(cancel.ID); running {
		owned.cancels[cancel.ID]()
	}
	delete(owned.replies, cancel.ID)
}

func (l *targetLoop) tick() {
	now := l.host.Clock.Now()
	for _, owned := range l.owned {
		for _, attempt := range owned.limiter.Expire(now) {
			reply := owned.replies[attempt.ID]
			delete(owned.replies, attempt.ID)
			l.answer(failed(attempt, wigeonspindle.NotRun, wigeonspindle.CodeExpired, "the attempt waited too long"), reply)
		}
		l.advance(owned)
	}
}

func (l *targetLoop) drop(owned *ownedTarget) {
	for _, cancel := range owned.cancels {
		cancel()
	}
	close(owned.stop)
}

func (l *targetLoop) answer(outcome wigeonspindle.Outcome, reply wigeonspindle.Reply) {
	if reply != nil {
		reply(wigeonspindle.Envelope{Outcomes: []wigeonspindle.Outcome{outcome}})
	}
}
