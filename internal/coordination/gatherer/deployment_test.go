package gatherer_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
)

// newOrderHarness returns a harness whose route sends each call to one of two replicas.
func newOrderHarness() *harness {
	h := newHarness(1)
	h.route.Shards, h.route.Split = nil, []wigeonspindle.Share{{Pool: "shard-0", Weight: 1}}
	return h
}

// change replaces the deployment state by a copy that edit has changed, as the registry does, and tells a call.
func (h *harness) change(state *gatherer.CallState, after time.Duration, edit func(deployment *wigeonspindle.DeploymentState)) (gatherer.Step, bool) {
	next := *h.deployment
	next.Replicas = make(map[string][]*wigeonspindle.Replica)
	for pool, replicas := range h.deployment.Replicas {
		for _, replica := range replicas {
			renewed := *replica
			next.Replicas[pool] = append(next.Replicas[pool], &renewed)
		}
	}
	next.OutDomains = make(map[string]bool)
	edit(&next)
	h.deployment = &next
	h.UpdateDeployment(&next, next.ReplicaIDs(), at(after))
	return state.HandleDeployment(at(after))
}

// nextSends ticks a call until it sends or is answered, and returns that step and its time.
func nextSends(state *gatherer.CallState, step gatherer.Step, now time.Time) (gatherer.Step, time.Duration) {
	for len(step.Sends) == 0 && step.Reply == nil {
		now = step.NextTick
		step = state.Tick(now)
	}
	return step, now.Sub(start)
}

// TestWaitingCallSeesChanges guards against a call that waits until its replicas take requests again and then goes by
// the replicas of the time at which it arrived: it is sent to one that drains or has ended, or goes on waiting
// although another one is free.
func TestWaitingCallSeesChanges(t *testing.T) {
	const refusal, changed = 300 * time.Millisecond, 50 * time.Millisecond
	for _, test := range []struct {
		name    string
		edit    func(deployment *wigeonspindle.DeploymentState)
		replica string // replica is the one that gets the next send; empty if the call is refused.
		after   time.Duration
	}{
		{"a replica drains", func(d *wigeonspindle.DeploymentState) { d.Replicas["shard-0"][0].Draining = true }, "shard-0-1", refusal},
		{"the other replica drains", func(d *wigeonspindle.DeploymentState) { d.Replicas["shard-0"][1].Draining = true }, "shard-0-0", refusal},
		{"a replica is gone", func(d *wigeonspindle.DeploymentState) { d.Replicas["shard-0"] = d.Replicas["shard-0"][1:] }, "shard-0-1", refusal},
		{"a failure domain is taken out of service", func(d *wigeonspindle.DeploymentState) { d.OutDomains["a"] = true }, "shard-0-1", refusal},
		{"all replicas drain", func(d *wigeonspindle.DeploymentState) {
			d.Replicas["shard-0"][0].Draining, d.Replicas["shard-0"][1].Draining = true, true
		}, "", changed},
		{"a replica is added", func(d *wigeonspindle.DeploymentState) {
			d.Replicas["shard-0"] = append(d.Replicas["shard-0"], &wigeonspindle.Replica{ID: "new", Pool: "shard-0", Domain: "a", Slots: 2})
		}, "new", changed},
		{"a replica starts again under its ID", func(d *wigeonspindle.DeploymentState) { d.Replicas["shard-0"][1].StartUnixMs = 1 }, "shard-0-1", changed},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newOrderHarness()
			state, step := h.call(0)
			for range 2 {
				step = state.HandleResult(step.Sends[0], refusedFor(refusal), at(0))
			}
			if step.Reply != nil || len(step.Sends) > 0 {
				t.Fatalf("after both replicas have refused the call: got %+v, want it to wait", step)
			}
			step, ok := h.change(state, changed, test.edit)
			if !ok {
				step.NextTick = at(refusal)
			}
			step, after := nextSends(state, step, at(changed))
			if test.replica == "" {
				if step.Reply == nil || step.Reply.Refusal == nil || step.Reply.Refusal.Verdict != wigeonspindle.NotRun {
					t.Fatalf("no replica left: got %+v, want a refusal that says the call has not run", step)
				}
			} else if len(step.Sends) != 1 || step.Sends[0].Replica.ID != test.replica {
				t.Fatalf("next send: got %+v and reply %+v, want one to %s", step.Sends, step.Reply, test.replica)
			}
			if after < test.after || after > test.after+10*time.Millisecond {
				t.Errorf("time of the next step: got %v, want %v", after, test.after)
			}
		})
	}
}

// TestLaterSendsSeeChanges guards against hedges, retries and moved sends of a running query that go to a replica which
// has begun to drain since the query arrived.
func TestLaterSendsSeeChanges(t *testing.T) {
	for _, test := range []struct {
		name string
		next func(state *gatherer.CallState, send gatherer.Send, step gatherer.Step) gatherer.Step
	}{
		{"hedge", func(state *gatherer.CallState, _ gatherer.Send, step gatherer.Step) gatherer.Step {
			return state.Tick(step.NextTick)
		}},
		{"retry", func(state *gatherer.CallState, send gatherer.Send, _ gatherer.Step) gatherer.Step {
			return state.HandleResult(send, broken, at(10*time.Millisecond))
		}},
		{"moved send", func(state *gatherer.CallState, send gatherer.Send, _ gatherer.Step) gatherer.Step {
			step, _ := state.HandleStalled(send, at(30*time.Millisecond))
			return step
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(4)
			state, first := h.call(0)
			h.change(state, 5*time.Millisecond, func(d *wigeonspindle.DeploymentState) {
				for _, replicas := range d.Replicas {
					for _, replica := range replicas {
						replica.Draining = replica.ID != first.Sends[0].Replica.ID // All but the one that holds the first send.
					}
				}
			})
			step := test.next(state, first.Sends[0], first)
			for _, send := range step.Sends {
				if send.Replica.ID != first.Sends[0].Replica.ID {
					t.Errorf("send to a draining replica: got %s at %v, want none", send.Replica.ID, send.SentAt.Sub(start))
				}
			}
		})
	}
}

// TestRunningCallKeepsConfiguration guards against an answer from two configurations: a running query keeps its route
// and shards, and its later sends keep to the limits of these shards, although a new configuration names others.
func TestRunningCallKeepsConfiguration(t *testing.T) {
	h := newHarness(4)
	pool := h.deployment.Catalog.Pools["shard-0"]
	pool.WarmupRate = 0.01
	h.deployment.Catalog.Pools["shard-0"] = pool
	state, first := h.call(0)
	h.UpdateDeployment(h.deployment, h.deployment.ReplicaIDs(), at(0))
	h.change(state, 5*time.Millisecond, func(d *wigeonspindle.DeploymentState) {
		d.Catalog = &wigeonspindle.Catalog{Version: 2, Pools: map[string]wigeonspindle.Pool{"other": {Name: "other"}}}
		for _, replica := range d.Replicas["shard-0"] {
			replica.WarmAt = at(time.Minute) // One call in 100 s for all hosts.
		}
	})
	if got, want := state.ConfigVersion, uint64(1); got != want {
		t.Errorf("version of the configuration: got %d, want %d", got, want)
	}
	for i, send := range first.Sends {
		step := state.HandleResult(send, refused, at(10*time.Millisecond))
		if got, want := len(step.Sends), min(i, 1); got != want {
			t.Errorf("sends after the refusal of %s: got %d, want %d", send.Replica.ID, got, want)
		}
	}
}
