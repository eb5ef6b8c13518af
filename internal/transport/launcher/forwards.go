package launcher

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/deduplicator"
	"wigeonspindle.example/wigeonspindle/internal/state/scheduler"
)

// pendingForward is a once request that this host forwarded to the incarnation named by its
// identity.
type pendingForward struct {
	waiter waiter
	host   string
	timer  *scheduler.Timer
}

// handleOnceRequest handles a once request. A request that names this incarnation runs unless it
// ran before; any other is forwarded.
func (l *queryLoop) handleOnceRequest(input queryInput) {
	query := input.query
	if query.Identity.Incarnation != l.host.self.Incarnation {
		l.forwardQuery(input)
		return
	}
	rules := l.rules()
	result := l.deduplicator.Begin(query, rules.Lifetime.Value(), l.host.Clock.Now())
	switch result.Decision {
	case deduplicator.Run:
		running := &runningQuery{query: query, waiters: []waiter{{query, input.respond}}}
		l.onceRequests[deduplicator.NormalizeIdentity(query.Identity)] = running
		l.startQuery(running)
	case deduplicator.Wait:
		running := l.onceRequests[deduplicator.NormalizeIdentity(query.Identity)]
		running.waiters = append(running.waiters, waiter{query, input.respond})
		l.rescheduleTimer(running)
	case deduplicator.Replay:
		answer := result.Answer
		answer.ID, answer.Trace = query.ID, query.Trace
		input.respond(answer)
	default:
		answer := refusalAnswer(query, result.Refusal.Code, result.Refusal.Verdict, result.Refusal.Message)
		answer.Refusal = result.Refusal
		input.respond(answer)
	}
}

// recordAnswer stores the answer of a once request for its repeats.
func (l *queryLoop) recordAnswer(running *runningQuery, answer wigeonspindle.Answer) {
	delete(l.onceRequests, deduplicator.NormalizeIdentity(running.query.Identity))
	l.deduplicator.Finish(running.query.Identity, answer)
}

// forwardQuery forwards a once request to the incarnation named by its identity. Every failure
// gives verdict MayHaveRun, because an earlier copy of the request may have reached that
// incarnation by another path.
func (l *queryLoop) forwardQuery(input queryInput) {
	query := input.query
	host, ok := l.hostOfIncarnation(query.Identity.Incarnation)
	if !ok {
		input.respond(goneAnswer(query))
		return
	}
	sent := query
	sent.Deadline = query.Deadline.Add(-wigeonspindle.HopMargin)
	counter := l.nextAttemptID().Counter
	if !l.host.send(host, wigeonspindle.Envelope{Forward: &wigeonspindle.Forward{Counter: counter, Query: sent}}) {
		input.respond(goneAnswer(query))
		return
	}
	entry := &pendingForward{waiter: waiter{query, input.respond}, host: host}
	entry.timer = l.timers.Add(query.Deadline, func(time.Time) { l.finishForward(counter, goneAnswer(query)) })
	l.forwards[counter] = entry
	l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventSent, Trace: query.Trace, Peer: host, Detail: "forwarded"})
}

// hostOfIncarnation returns the name of the host that runs the incarnation. It reports false
// if the incarnation is unknown or gone.
func (l *queryLoop) hostOfIncarnation(incarnation wigeonspindle.Incarnation) (string, bool) {
	for _, member := range l.host.view.Load().Members {
		if member.Host.Incarnation == incarnation && member.Condition != wigeonspindle.ConditionGone {
			return member.Host.Name, true
		}
	}
	return "", false
}

// handleForwarded delivers the answer to a forwarded request.
func (l *queryLoop) handleForwarded(message wigeonspindle.Forwarded) {
	l.finishForward(message.Counter, message.Answer)
}

// finishForward answers the caller of a forwarded request. It does nothing when the request was
// answered before.
func (l *queryLoop) finishForward(counter uint64, answer wigeonspindle.Answer) {
	entry := l.forwards[counter]
	if entry == nil {
		return
	}
	delete(l.forwards, counter)
	l.timers.Remove(entry.timer)
	answer.ID, answer.Trace = entry.waiter.query.ID, entry.waiter.query.Trace
	entry.waiter.respond(answer)
}

// failForwards refuses the requests forwarded to a host whose link broke.
func (l *queryLoop) failForwards(peer string) {
	for counter, entry := range l.forwards {
		if entry.host == peer {
			l.finishForward(counter, goneAnswer(entry.waiter.query))
		}
	}
}

func goneAnswer(query wigeonspindle.Query) wigeonspindle.Answer {
	return refusalAnswer(query, wigeonspindle.CodeGone, wigeonspindle.MayHaveRun, "the host that the identity names did not answer")
}

// routeForward passes a request forwarded by another host to its query loop.
func (h *Host) routeForward(forward wigeonspindle.Forward, reply wigeonspindle.ReplyFunc) {
	query := forward.Query
	query.ID = h.queryCounter.Add(1)
	query.Fingerprint = fingerprint(query)
	answer := func(answer wigeonspindle.Answer) {
		reply(wigeonspindle.Envelope{Forwarded: &wigeonspindle.Forwarded{Counter: forward.Counter, Answer: answer}})
	}
	switch {
	case query.Class != wigeonspindle.ClassOnce || query.Identity.Incarnation != h.self.Incarnation:
		answer(goneAnswer(query)) // Forwarding it again could create a loop.
	case !h.queryLoop(query).queries.Offer(queryInput{query: query, respond: answer}):
		h.Meter.CountDrop("queries")
		answer(refusalAnswer(query, wigeonspindle.CodeOverloaded, unseenVerdict(query), "the host is saturated"))
	}
}

// failUnsentForward refuses a forwarded request whose message was not written.
func (h *Host) failUnsentForward(forward wigeonspindle.Forward) {
	h.routeForwarded(wigeonspindle.Forwarded{Counter: forward.Counter, Answer: goneAnswer(forward.Query)})
}

// routeForwarded passes the answer to a forwarded request to the query loop that waits for it.
func (h *Host) routeForwarded(message wigeonspindle.Forwarded) bool {
	loop := h.queries[message.Counter%uint64(len(h.queries))]
	if loop.outcomes.Offer(outcomeInput{forwarded: &message}) {
		return true
	}
	h.Meter.CountDrop("outcomes") // The caller gets MayHaveRun at the deadline.
	return false
}
