package launcher

import (
	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/elector"
)

// linkHandler routes messages and events of links to the rings of the host's goroutines.
type linkHandler struct {
	host *Host
}

// Received routes one message. A reply that the link refuses is counted as dropped, and the
// waiting host answers MayHaveRun at the deadline.
func (h *linkHandler) Received(message wigeonspindle.Envelope, reply wigeonspindle.ReplyFunc) {
	h.host.route(message, func(answer wigeonspindle.Envelope) bool {
		if reply(answer) {
			return true
		}
		h.host.Meter.CountDrop("link")
		return false
	})
}

// Unsent handles a message that was not written. It reports the attempts as not run, or fails
// the forwarded request.
func (h *linkHandler) Unsent(_ string, message wigeonspindle.Envelope) {
	switch {
	case len(message.Attempts) > 0:
		h.host.routeOutcomes(unreachableOutcomes(message.Attempts))
	case message.Forward != nil:
		h.host.failUnsentForward(*message.Forward)
	}
}

// Up records that a link is ready and triggers the transfer of suspicions that the host may
// have missed.
func (h *linkHandler) Up(peer string) {
	h.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventLink, Peer: peer, Detail: "up"})
	if !h.host.queries[0].outcomes.Offer(outcomeInput{linkUp: peer}) {
		h.host.Meter.CountDrop("outcomes")
	}
}

// Down reports a broken link to every query loop.
func (h *linkHandler) Down(peer string) {
	h.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventLink, Peer: peer, Detail: "down"})
	for _, loop := range h.host.queries {
		loop.outcomes.Put(outcomeInput{linkDown: peer}, h.host.stop)
	}
}

// reportRefusedConnection passes the refusal of a connection by a host's address to the
// control loop.
func (h *Host) reportRefusedConnection(host, address string) {
	h.control.inputs.Offer(controlInput{refusedConnection: &wigeonspindle.Host{Name: host, LinkAddress: address}})
}

// send sends a message to a host, which may be this one. It reports false when the message
// was not sent and will not be.
func (h *Host) send(host string, message wigeonspindle.Envelope) bool {
	if host != h.self.Name {
		return h.linker.Send(host, message)
	}
	message.From = h.self.Name
	return h.route(message, func(answer wigeonspindle.Envelope) bool {
		answer.From = h.self.Name
		return h.route(answer, nil)
	})
}

// route passes a message to the goroutine that owns the state concerned. It reports false when
// the ring of that goroutine is full.
func (h *Host) route(message wigeonspindle.Envelope, reply wigeonspindle.ReplyFunc) bool {
	switch {
	case message.Attempts != nil:
		h.routeAttempts(message.Attempts, reply)
		return true
	case message.Cancels != nil:
		for _, cancel := range message.Cancels {
			h.targetLoop(cancel.Target).inputs.Offer(targetInput{cancel: &cancel})
		}
		return true
	case message.Outcomes != nil:
		return h.routeOutcomes(message.Outcomes)
	case message.Forward != nil:
		h.routeForward(*message.Forward, reply)
		return true
	case message.Forwarded != nil:
		return h.routeForwarded(*message.Forwarded)
	case message.Suspicion != nil:
		return h.routeSuspicion(*message.Suspicion)
	case message.Claim != nil, message.Grant != nil, message.Release != nil, message.Notice != nil, message.Acknowledgement != nil:
		return h.leases.inputs.Offer(leaseInput{message: message, reply: reply})
	case message.Heartbeat != nil:
		if roster := h.leases.Roster(); reply != nil && elector.Outdated(message.Heartbeat.Era, message.Heartbeat.Terms, roster) {
			reply(wigeonspindle.Envelope{Notice: &wigeonspindle.Notice{Roster: roster}})
		}
	}
	return h.control.inputs.Offer(controlInput{message: message, reply: reply})
}

func (h *Host) routeAttempts(attempts []wigeonspindle.Attempt, reply wigeonspindle.ReplyFunc) {
	for _, attempt := range attempts {
		if !h.targetLoop(attempt.Target).inputs.Offer(targetInput{attempt: &attempt, reply: reply}) {
			outcome := failedOutcome(attempt, wigeonspindle.NotRun, wigeonspindle.CodeOverloaded, "the owner is saturated")
			reply(wigeonspindle.Envelope{Outcomes: []wigeonspindle.Outcome{outcome}})
		}
	}
}

// routeOutcomes passes outcomes to the query loops that wait for them. Outcomes are dropped
// when the ring is full; their attempts then count as MayHaveRun at the query's deadline.
func (h *Host) routeOutcomes(outcomes []wigeonspindle.Outcome) bool {
	batches := make(map[uint64][]wigeonspindle.Outcome)
	for _, outcome := range outcomes {
		loop := outcome.ID.Counter % uint64(len(h.queries))
		batches[loop] = append(batches[loop], outcome)
	}
	delivered := true
	for loop, batch := range batches {
		if !h.queries[loop].outcomes.Offer(outcomeInput{outcomes: batch}) {
			h.Meter.CountDrop("outcomes")
			delivered = false
		}
	}
	return delivered
}

func (h *Host) targetLoop(target string) *targetLoop {
	return h.targets[xxhash.Sum64String(target)%uint64(len(h.targets))]
}
