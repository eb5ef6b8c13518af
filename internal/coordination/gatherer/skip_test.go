package gatherer_test

import (
	"testing"
	"time"
)

// TestSkipBesideUnusable guards against searches that leave out shards to relieve them although others have
// no usable replica, so that too few remain.
func TestSkipBesideUnusable(t *testing.T) {
	h := newHarness(8) // Two shards may be missing.
	for _, pool := range []string{"shard-0", "shard-1"} {
		h.deployment.Replicas[pool] = nil
	}
	for i := range 200 {
		h.Throttler.Observe("shard-2", 1, at(time.Duration(i)*time.Millisecond))
	}
	for i := range 50 {
		after := time.Second + time.Duration(i)*100*time.Millisecond
		for range 20 {
			h.Throttler.Observe("shard-2", 1, at(after))
		}
		state, step := h.call(after)
		if step.Reply != nil && state.SkippedParts > 0 {
			t.Fatalf("call %d: got a refusal (%s) with %d shards left out on purpose, want none left out", i, step.Reply.Refusal.Message, state.SkippedParts)
		}
		for _, send := range step.Sends {
			state.HandleResult(send, part(send.Replica.ID, time.Millisecond), at(after+time.Millisecond))
		}
	}
}
