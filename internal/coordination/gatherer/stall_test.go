package gatherer_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
)

// newSingleHarness returns a harness whose route has a single part with two replicas.
func newSingleHarness() *harness {
	h := newHarness(1)
	h.route.Coverage = 1
	return h
}

// TestStalledSend guards against a part that waits until its deadline for a connection to a replica that does
// not respond, while another replica could answer it.
func TestStalledSend(t *testing.T) {
	h := newSingleHarness()
	state, step := h.call(0)
	first := step.Sends[0]
	step, withdrawn := state.HandleStalled(first, at(30*time.Millisecond))
	if !withdrawn || len(step.Sends) != 1 || step.Sends[0].Replica == first.Replica {
		t.Fatalf("stalled send: got withdrawn %v and sends %+v, want a send to the other replica", withdrawn, step.Sends)
	}
	step = state.HandleResult(step.Sends[0], part("s", 10*time.Millisecond), at(40*time.Millisecond))
	if step.Reply == nil || step.Reply.Merged == nil {
		t.Errorf("reply after the other replica has answered: got %+v, want a success", step.Reply)
	}
	// The next call prefers the replica that accepts connections.
	_, step = h.call(50 * time.Millisecond)
	if got := step.Sends[0].Replica; got == first.Replica {
		t.Errorf("replica of the next call: got the one that did not accept a connection, want the other")
	}
}

// TestStalledWithoutAlternative guards against a part that fails although the connection to its only replica
// may still open.
func TestStalledWithoutAlternative(t *testing.T) {
	h := newSingleHarness()
	h.deployment.Replicas["shard-0"] = h.deployment.Replicas["shard-0"][:1]
	state, step := h.call(0)
	first := step.Sends[0]
	step, withdrawn := state.HandleStalled(first, at(30*time.Millisecond))
	if withdrawn || len(step.Sends) > 0 || step.Reply != nil {
		t.Fatalf("stalled send without another replica: got withdrawn %v and %+v, want it to wait", withdrawn, step)
	}
	step = state.HandleResult(first, part("s", 5*time.Millisecond), at(60*time.Millisecond))
	if step.Reply == nil || step.Reply.Merged == nil {
		t.Errorf("reply after the replica has answered: got %+v, want a success", step.Reply)
	}
}

// TestStalledAfterFailure guards against a part that is given up because one replica has failed it and the
// other one does not accept a connection, although the first may answer another attempt.
func TestStalledAfterFailure(t *testing.T) {
	h := newSingleHarness()
	state, step := h.call(0)
	first := step.Sends[0]
	step = state.HandleResult(first, failed, at(5*time.Millisecond))
	if len(step.Sends) != 1 {
		t.Fatalf("sends after a failure: got %d, want 1", len(step.Sends))
	}
	step, withdrawn := state.HandleStalled(step.Sends[0], at(35*time.Millisecond))
	if !withdrawn || len(step.Sends) != 1 || step.Sends[0].Replica != first.Replica {
		t.Fatalf("stalled retry: got withdrawn %v and sends %+v, want another attempt at the first replica", withdrawn, step.Sends)
	}
	// Two replicas may run a part; a third run is not allowed.
	step = state.HandleResult(step.Sends[0], failed, at(40*time.Millisecond))
	if step.Reply == nil {
		t.Errorf("reply after two runs: got none, want a refusal")
	}
}

// TestRetryAfterUnreachable guards against a part that is given up because the other replica is down, although
// the one that has failed it once may answer another attempt.
func TestRetryAfterUnreachable(t *testing.T) {
	h := newSingleHarness()
	state, step := h.call(0)
	first := step.Sends[0]
	step = state.HandleResult(first, failed, at(5*time.Millisecond))
	step = state.HandleResult(step.Sends[0], unsent, at(6*time.Millisecond))
	step = advance(state, step)
	if len(step.Sends) != 1 || step.Sends[0].Replica != first.Replica {
		t.Errorf("next step: got %+v, want another attempt at the first replica", step)
	}
}

// TestOnceAfterFailure guards against a second run of a call that must run at most once.
func TestOnceAfterFailure(t *testing.T) {
	for _, result := range []wigeonspindle.Exchange{failed, broken} {
		h := newSingleHarness()
		h.route.Shards, h.route.Split, h.route.Class = nil, []wigeonspindle.Share{{Pool: "shard-0", Weight: 1}}, wigeonspindle.ClassOnce
		state, step := h.call(0)
		step = state.HandleResult(step.Sends[0], result, at(5*time.Millisecond))
		if len(step.Sends) > 0 || step.Reply == nil {
			t.Errorf("after a possible run: got %+v, want the final reply", step)
		}
	}
}

// TestRefusedUntilLate guards against a search that fails while its objective has hardly passed, although the
// replicas that refuse a part it needs have room again well before its deadline.
func TestRefusedUntilLate(t *testing.T) {
	const roomAt = 300 * time.Millisecond
	h := newSingleHarness()
	state, step := h.call(0)
	now := at(0)
	for step.Reply == nil {
		if len(step.Sends) == 0 {
			now = step.NextTick
			step = state.Tick(now)
			continue
		}
		result := refused
		if now.Sub(start) >= roomAt {
			result = part("s", time.Millisecond)
		}
		step = state.HandleResult(step.Sends[0], result, now)
	}
	if step.Reply.Merged == nil {
		t.Errorf("reply after %v: got %+v, want a success after %v", now.Sub(start), step.Reply.Refusal, roomAt)
	}
}

// advance plays ticks until a step has sends or a reply.
func advance(state *gatherer.CallState, step gatherer.Step) gatherer.Step {
	for len(step.Sends) == 0 && step.Reply == nil {
		step = state.Tick(step.NextTick)
	}
	return step
}
