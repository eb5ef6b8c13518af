package launcher

import (
	"context"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// Capacities of the rings of a target loop.
const (
	targetInputsCapacity   = 8192
	targetOutcomesCapacity = 1024
)

// targetLoop starts attempts on targets that this host owns. Only its goroutine uses their
// limiters.
type targetLoop struct {
	host     *Host
	inputs   *queuer.Ring[targetInput]
	outcomes *queuer.Ring[wigeonspindle.Outcome]
	owned    map[string]*ownedTarget
}

// targetInput is an input of a target loop. Exactly one of attempt, cancel, lease and report
// is set.
type targetInput struct {
	attempt *wigeonspindle.Attempt
	reply   wigeonspindle.ReplyFunc
	cancel  *wigeonspindle.Cancel
	lease   *targetLease
	report  *loadReport
}

// targetLease is the state of the lease on a target and the target's configuration.
type targetLease struct {
	target    wigeonspindle.Target
	holdingID uint64 // holdingID distinguishes this holding of the target from earlier ones.
	// leaseEnd is zero while the host has claimed the target and holds no lease.
	leaseEnd time.Time
	// newLease marks a lease that does not renew an earlier one; level is then the ramp level
	// known to the voters, 0 for none.
	newLease bool
	level    float64
	// outOfService is set while the target's failure domain is out of service.
	outOfService bool
	// releasing makes the loop release the target once its work in flight has finished.
	releasing bool
}

type loadReport struct {
	target string
	report wigeonspindle.LoadReport
}

func newTargetLoop(host *Host) *targetLoop {
	return &targetLoop{
		host:     host,
		inputs:   queuer.New[targetInput](targetInputsCapacity),
		outcomes: queuer.New[wigeonspindle.Outcome](targetOutcomesCapacity),
		owned:    make(map[string]*ownedTarget),
	}
}

// run waits for inputs, outcomes and the next deadline or start of a waiting attempt. It uses
// no periodic timer, so that an idle host does not wake up.
func (l *targetLoop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
		select {
		case <-l.host.stop:
			for _, owned := range l.owned {
				owned.shutdown()
			}
			return
		case input := <-l.inputs.C():
			l.handleInput(input)
		case outcome := <-l.outcomes.C():
			l.handleOutcome(outcome)
		case <-timer.C:
			l.advanceDue()
		}
	}
}

// resetTimer sets the timer to the earliest nextWake of the owned targets.
func (l *targetLoop) resetTimer(timer *time.Timer) {
	var earliest time.Time
	for _, owned := range l.owned {
		if !owned.nextWake.IsZero() && (earliest.IsZero() || owned.nextWake.Before(earliest)) {
			earliest = owned.nextWake
		}
	}
	if earliest.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, earliest.Sub(l.host.Clock.Now())))
}

func (l *targetLoop) advanceDue() {
	now := l.host.Clock.Now()
	for _, owned := range l.owned {
		if !owned.nextWake.IsZero() && !now.Before(owned.nextWake) {
			l.advance(owned)
		}
	}
}

func (l *targetLoop) handleInput(input targetInput) {
	switch {
	case input.lease != nil:
		l.applyLease(*input.lease)
	case input.attempt != nil:
		l.offerAttempt(*input.attempt, input.reply)
	case input.cancel != nil:
		l.cancelAttempt(*input.cancel)
	case input.report != nil:
		if owned := l.owned[input.report.target]; owned != nil {
			l.handleReport(owned, input.report.report)
		}
	}
}

// handleReport applies a target's load report. Each report of a draining target, and the
// first one after draining, is passed to the control loop, which informs the cell.
func (l *targetLoop) handleReport(owned *ownedTarget, report wigeonspindle.LoadReport) {
	if report.Draining || owned.draining {
		l.host.reportDraining(owned.limiter.Target.Name, report.Draining)
	}
	owned.draining = report.Draining
	l.recordLevelChange(owned, func() { owned.limiter.HandleReport(report) })
	l.advance(owned)
}

// applyLease applies a lease or changed limits. Work in flight continues, and the limiter
// counts it against the new limits.
func (l *targetLoop) applyLease(lease targetLease) {
	owned := l.owned[lease.target.Name]
	if owned == nil {
		if lease.releasing {
			l.host.leases.inputs.Offer(leaseInput{drained: &drainedTarget{name: lease.target.Name, holdingID: lease.holdingID}})
			return
		}
		owned = newOwnedTarget(l, lease.target, lease.outOfService)
		l.owned[lease.target.Name] = owned
	}
	owned.configure(lease.target)
	owned.holdingID = lease.holdingID
	owned.outOfService.Store(lease.outOfService)
	if lease.newLease {
		owned.limiter.RestoreLevel(lease.level)
	}
	owned.limiter.LeaseEnd, owned.limiter.Releasing = lease.leaseEnd, lease.releasing
	owned.limiter.SetOutOfService(lease.outOfService)
	l.advance(owned)
	if l.owned[lease.target.Name] != nil {
		l.host.leases.inputs.Offer(leaseInput{load: &targetLoad{name: lease.target.Name, load: owned.limiter.Load(), level: owned.limiter.Level()}})
	}
}

func (l *targetLoop) offerAttempt(attempt wigeonspindle.Attempt, reply wigeonspindle.ReplyFunc) {
	owned := l.owned[attempt.Target]
	if owned == nil {
		l.sendOutcome(failedOutcome(attempt, wigeonspindle.NotRun, wigeonspindle.CodeNotOwner, "the host does not own the target"), reply)
		return
	}
	if !l.host.placement.Load().Accepts(owned.limiter.Target) {
		l.sendOutcome(failedOutcome(attempt, wigeonspindle.NotRun, wigeonspindle.CodeLeaving, "the target receives no new work"), reply)
		return
	}
	if refusal := owned.limiter.Offer(attempt, l.host.Clock.Now()); refusal != nil {
		outcome := failedOutcome(attempt, refusal.Verdict, refusal.Code, refusal.Message)
		outcome.Load = owned.limiter.Load()
		l.sendOutcome(outcome, reply)
		return
	}
	owned.replies[attempt.ID] = reply
	l.advance(owned)
}

// advance refuses the attempts that have waited too long, starts every attempt that may
// start now and, when the target is being released, releases it after its last attempt.
func (l *targetLoop) advance(owned *ownedTarget) {
	now := l.host.Clock.Now()
	for _, refused := range owned.limiter.Expire(now) {
		reply := owned.replies[refused.Attempt.ID]
		delete(owned.replies, refused.Attempt.ID)
		outcome := failedOutcome(refused.Attempt, refused.Refusal.Verdict, refused.Refusal.Code, refused.Refusal.Message)
		outcome.Load = owned.limiter.Load()
		l.sendOutcome(outcome, reply)
	}
	for {
		attempt, ok := owned.limiter.Next(now)
		if !ok {
			break
		}
		ctx, cancel := context.WithCancel(context.Background())
		owned.cancels[attempt.ID] = cancel
		// The ring has room, because the limiter starts at most one attempt per slot.
		owned.work.Offer(sendWork{ctx: ctx, target: owned.limiter.Target, attempt: attempt})
	}
	owned.nextWake = time.Time{}
	if wake, ok := owned.limiter.NextWake(now); ok {
		owned.nextWake = wake
	}
	if owned.limiter.Releasing && owned.limiter.InFlight() == 0 {
		l.release(owned)
	}
}

// release stops work on the target and asks the lease loop to release the lease.
func (l *targetLoop) release(owned *ownedTarget) {
	name := owned.limiter.Target.Name
	if !l.host.leases.inputs.Offer(leaseInput{drained: &drainedTarget{name: name, holdingID: owned.holdingID, level: owned.limiter.Level()}}) {
		return // The lease loop repeats the request.
	}
	owned.shutdown()
	delete(l.owned, name)
	if connector, ok := l.host.Sender.(wigeonspindle.Preconnector); ok {
		connector.CloseIdle(name)
	}
}

func (l *targetLoop) handleOutcome(outcome wigeonspindle.Outcome) {
	owned := l.owned[outcome.Target]
	if owned == nil {
		return
	}
	if outcome.Code == wigeonspindle.CodeLeaving {
		l.host.reportDraining(outcome.Target, true)
	}
	l.recordLevelChange(owned, func() { outcome = owned.limiter.Complete(outcome, l.host.Clock.Now()) })
	if cancel := owned.cancels[outcome.ID]; cancel != nil {
		cancel()
		delete(owned.cancels, outcome.ID)
	}
	if reply := owned.replies[outcome.ID]; reply != nil {
		delete(owned.replies, outcome.ID)
		l.sendOutcome(outcome, reply)
	}
	l.advance(owned)
}

// recordLevelChange updates the target's limiter and records an event if the update makes the
// target cold or warm.
func (l *targetLoop) recordLevelChange(owned *ownedTarget, update func()) {
	before := owned.limiter.Level()
	update()
	event := wigeonspindle.Event{Target: owned.limiter.Target.Name}
	switch after := owned.limiter.Level(); {
	case after < before:
		event.Kind = wigeonspindle.EventCooled
	case after >= 1 && before < 1:
		event.Kind = wigeonspindle.EventRamped
	default:
		return
	}
	l.host.recorder.Record(event)
}

func (l *targetLoop) cancelAttempt(cancel wigeonspindle.Cancel) {
	owned := l.owned[cancel.Target]
	if owned == nil {
		return
	}
	if running := owned.limiter.Cancel(cancel.ID); running {
		owned.cancels[cancel.ID]()
	}
	delete(owned.replies, cancel.ID)
	l.advance(owned)
}

func (l *targetLoop) sendOutcome(outcome wigeonspindle.Outcome, reply wigeonspindle.ReplyFunc) {
	if reply != nil {
		reply(wigeonspindle.Envelope{Outcomes: []wigeonspindle.Outcome{outcome}})
	}
}
