package launcher

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/coordinator"
)

func (l *queryLoop) handleOutcomeInput(input outcomeInput) {
	for _, outcome := range input.outcomes {
		l.handleOutcome(outcome)
	}
	switch {
	case input.forwarded != nil:
		l.handleForwarded(*input.forwarded)
	case input.suspicion != nil:
		l.mergeSuspicion(*input.suspicion)
	case input.linkDown != "":
		l.handleLinkDown(input.linkDown)
	case input.linkUp != "":
		l.sendSuspicions(input.linkUp)
	}
}

// handleLinkDown ends the attempts and forwarded requests sent to a host whose link broke, with
// verdict MayHaveRun.
func (l *queryLoop) handleLinkDown(peer string) {
	var broken []wigeonspindle.Outcome
	for _, running := range l.running {
		for _, sent := range running.sent {
			if sent.owner == peer {
				broken = append(broken, failedOutcome(*sent.attempt, wigeonspindle.MayHaveRun, wigeonspindle.CodeBroken, "the link to the owner broke"))
			}
		}
	}
	for _, outcome := range broken {
		l.handleOutcome(outcome)
	}
	l.failForwards(peer)
}

func (l *queryLoop) handleOutcome(outcome wigeonspindle.Outcome) {
	running, now := l.running[outcome.Query], l.host.Clock.Now()
	l.picker.ObserveLoad(outcome.Target, outcome.Load, now)
	if running == nil {
		l.host.recorder.Record(wigeonspindle.Event{
			Kind: wigeonspindle.EventDropped, Shard: outcome.Shard, Target: outcome.Target,
			Verdict: outcome.Verdict.String(), Detail: "outcome of a query that has ended",
		})
		return
	}
	sent, known := running.sent[outcome.ID.Counter]
	delete(running.sent, outcome.ID.Counter)
	if known {
		l.recordResult(sent, outcome, now)
	}
	l.execute(running, running.coordinator.HandleOutcome(outcome, now))
}

// recordResult updates the replica preference and the crash suspicions from an outcome.
func (l *queryLoop) recordResult(sent sentAttempt, outcome wigeonspindle.Outcome, now time.Time) {
	switch {
	case outcome.Crashed:
		l.picker.Deprioritize(outcome.Target, now)
		l.recordCrash(sent.attempt, outcome, now)
	case outcome.Answered():
		l.quarantiner.RecordSuccess(sent.attempt.Fingerprint, now)
		if sent.attempt.Exclusive {
			l.clearSuspicion(sent.attempt.Fingerprint, sent.attempt.Shard, outcome.Target, now)
		}
	default:
		switch outcome.Code {
		case wigeonspindle.CodeLeaving, wigeonspindle.CodeUnreachable, wigeonspindle.CodeNotOwner, wigeonspindle.CodeBroken:
			l.picker.Deprioritize(outcome.Target, now)
		}
	}
}

// handleTimer refuses the waiters whose deadlines have passed and advances the query.
func (l *queryLoop) handleTimer(running *runningQuery, now time.Time) {
	waiting := running.waiters[:0]
	for _, waiter := range running.waiters {
		// The query itself answers its first waiter at the deadline.
		if waiter.query.ID == running.query.ID || now.Before(waiter.query.Deadline) {
			waiting = append(waiting, waiter)
			continue
		}
		waiter.respond(refusalAnswer(waiter.query, wigeonspindle.CodeExpired, wigeonspindle.MayHaveRun, "the same request is still in progress"))
	}
	running.waiters = waiting
	l.execute(running, running.coordinator.Tick(now))
}

// rescheduleTimer sets the timer of a query to its next wake-up or the next deadline of a
// waiter, whichever is earlier.
func (l *queryLoop) rescheduleTimer(running *runningQuery) {
	at := running.coordinator.NextWake()
	for _, waiter := range running.waiters[min(1, len(running.waiters)):] {
		if waiter.query.Deadline.Before(at) {
			at = waiter.query.Deadline
		}
	}
	l.timers.Reschedule(running.timer, at)
}

// execute carries out the actions of a query. Attempts and cancels are queued until the next
// flush.
func (l *queryLoop) execute(running *runningQuery, actions []coordinator.Action) {
	for _, action := range actions {
		switch {
		case action.Send != nil:
			l.queueAttempt(running, action.Send, action.Kind)
		case action.Cancel != nil:
			if sent, ok := running.sent[action.Cancel.ID.Counter]; ok {
				delete(running.sent, action.Cancel.ID.Counter)
				l.queuedCancels[sent.owner] = append(l.queuedCancels[sent.owner], *action.Cancel)
			}
		case action.Event != nil:
			l.host.recorder.Record(*action.Event)
		case action.Answer != nil:
			l.finishQuery(running, *action.Answer)
		}
	}
	if !running.coordinator.Done() {
		l.rescheduleTimer(running)
	}
}

func (l *queryLoop) queueAttempt(running *runningQuery, attempt *wigeonspindle.Attempt, kind wigeonspindle.SendKind) {
	owner, ok := l.host.ownership.Load().Owners[attempt.Target]
	if !ok {
		l.unsentOutcomes = append(l.unsentOutcomes, failedOutcome(*attempt, wigeonspindle.NotRun, wigeonspindle.CodeNotOwner, "the target has no owner"))
		return
	}
	running.sent[attempt.ID.Counter] = sentAttempt{attempt: attempt, owner: owner.Name}
	l.queuedAttempts[owner.Name] = append(l.queuedAttempts[owner.Name], *attempt)
	l.host.Meter.CountSend(attempt.Index, kind)
}

// flush sends the queued attempts and cancels. Attempts go before cancels, because a batch may
// cancel its own attempts. Attempts that could not be sent were not run and may cause further
// ones, each to a replica not tried yet.
func (l *queryLoop) flush() {
	for len(l.queuedAttempts) > 0 || len(l.unsentOutcomes) > 0 {
		for owner, batch := range l.queuedAttempts {
			delete(l.queuedAttempts, owner)
			if !l.host.send(owner, wigeonspindle.Envelope{Attempts: batch}) {
				l.unsentOutcomes = append(l.unsentOutcomes, unreachableOutcomes(batch)...)
			}
		}
		unsent := l.unsentOutcomes
		l.unsentOutcomes = nil
		for _, outcome := range unsent {
			l.handleOutcome(outcome)
		}
	}
	for owner, batch := range l.queuedCancels {
		delete(l.queuedCancels, owner)
		l.host.send(owner, wigeonspindle.Envelope{Cancels: batch})
	}
}

// finishQuery releases the resources of a query and sends its answer to all waiters.
func (l *queryLoop) finishQuery(running *runningQuery, answer wigeonspindle.Answer) {
	if running.coordinator != nil {
		delete(l.running, running.query.ID)
		l.timers.Remove(running.timer)
		l.admitter.Release(running.query.Caller, running.shards)
	}
	if running.query.Class == wigeonspindle.ClassOnce {
		l.recordAnswer(running, answer)
	}
	for _, waiter := range running.waiters {
		answer.ID, answer.Trace = waiter.query.ID, waiter.query.Trace
		waiter.respond(answer)
	}
}

func unreachableOutcomes(attempts []wigeonspindle.Attempt) []wigeonspindle.Outcome {
	outcomes := make([]wigeonspindle.Outcome, 0, len(attempts))
	for _, attempt := range attempts {
		outcomes = append(outcomes, failedOutcome(attempt, wigeonspindle.NotRun, wigeonspindle.CodeUnreachable, "the owner is not reachable"))
	}
	return outcomes
}

func failedOutcome(attempt wigeonspindle.Attempt, verdict wigeonspindle.Verdict, code wigeonspindle.Code, message string) wigeonspindle.Outcome {
	return wigeonspindle.Outcome{
		ID: attempt.ID, Query: attempt.Query, Target: attempt.Target, Shard: attempt.Shard, Snapshot: attempt.Snapshot,
		Generation: attempt.Generation, Verdict: verdict, Code: code, Message: message,
	}
}
