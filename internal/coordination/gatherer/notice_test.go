package gatherer_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
)

// refusedFor is a refusal of a replica that wants no request for a time.
func refusedFor(retryAfter time.Duration) wigeonspindle.Exchange {
	return wigeonspindle.Exchange{
		Verdict: wigeonspindle.NotRun, Sent: true, Response: &wigeonspindle.Response{Status: 503, Refused: true, RetryAfter: retryAfter},
	}
}

// TestRefusedByAll guards against a call that waits although no replica takes it before its deadline, and
// against callers that are told to return while that is still so or that return all at once.
func TestRefusedByAll(t *testing.T) {
	const refusal = 8 * time.Second
	h := newHarness(4)
	state, step := h.call(0)
	var reply *wigeonspindle.CallReply
	for len(step.Sends) > 0 && reply == nil {
		var next []gatherer.Send
		for _, send := range step.Sends {
			result := state.HandleResult(send, refusedFor(refusal), at(time.Millisecond))
			next = append(next, result.Sends...)
			if result.Reply != nil {
				reply = result.Reply
			}
		}
		step.Sends = next
	}
	if reply == nil || reply.Refusal == nil {
		t.Fatalf("reply after all replicas of two shards refused: got %+v, want a refusal", reply)
	}
	var earliest, latest time.Duration
	for i := range 50 {
		_, step := h.call(10 * time.Millisecond)
		if step.Reply == nil || step.Reply.Refusal == nil {
			t.Fatalf("next call: got %+v, want a refusal at once", step)
		}
		after := step.Reply.RetryAfter
		if i == 0 {
			earliest, latest = after, after
		}
		earliest, latest = min(earliest, after), max(latest, after)
	}
	if least := refusal - 20*time.Millisecond; earliest < least {
		t.Errorf("earliest return: got %v, want at least %v", earliest, least)
	}
	if got, least := latest-earliest, refusal/8; got < least {
		t.Errorf("spread of the returns: got %v, want at least %v", got, least)
	}
}

// TestWaitForRefusedReplica guards against a call that fails although a replica takes it again well before
// its deadline.
func TestWaitForRefusedReplica(t *testing.T) {
	h := newHarness(1)
	h.route.Shards, h.route.Split = nil, []wigeonspindle.Share{{Pool: "shard-0", Weight: 1}}
	state, step := h.call(0)
	for range 2 {
		if len(step.Sends) != 1 {
			t.Fatalf("sends: got %d, want 1", len(step.Sends))
		}
		step = state.HandleResult(step.Sends[0], refusedFor(100*time.Millisecond), at(0))
	}
	if step.Reply != nil {
		t.Fatalf("reply: got %+v, want none before the deadline", step.Reply)
	}
	now := at(0)
	for len(step.Sends) == 0 && step.Reply == nil {
		now = step.NextTick
		step = state.Tick(now)
	}
	if got, want := now.Sub(start), 100*time.Millisecond; len(step.Sends) != 1 || got != want {
		t.Errorf("next attempt: got %d sends after %v (reply %+v), want one after %v", len(step.Sends), got, step.Reply, want)
	}
}
