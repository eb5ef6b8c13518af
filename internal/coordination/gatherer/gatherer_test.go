package gatherer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/budgeter"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/hedger"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
	"wigeonspindle.example/wigeonspindle/internal/coordination/selector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/throttler"
)

// start is the time at which every test begins.
var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// at returns the time at the given offset from the start of a test.
func at(after time.Duration) time.Time { return start.Add(after) }

// harness holds a gatherer and a deployment whose shards have two replicas each.
type harness struct {
	*gatherer.Gatherer
	deployment *wigeonspindle.DeploymentState
	route      *wigeonspindle.Route
}

func newHarness(shards int) *harness {
	h := &harness{
		Gatherer: &gatherer.Gatherer{
			Selector:     &selector.Selector{Domain: "a", Random: rand.New(rand.NewPCG(1, 2))},
			Throttler:    &throttler.Throttler{Random: rand.New(rand.NewPCG(3, 4))},
			Correlator:   &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: 8}, SuspicionTTL: time.Minute},
			Budget:       &budgeter.Budgeter{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
			NewEstimator: func() wigeonspindle.LatencyEstimator { return &hedger.Estimator{} },
		},
		deployment: &wigeonspindle.DeploymentState{
			Catalog:  &wigeonspindle.Catalog{Version: 1, Pools: make(map[string]wigeonspindle.Pool)},
			Replicas: make(map[string][]*wigeonspindle.Replica), ServingPeers: make([]wigeonspindle.Peer, 1),
		},
		route: &wigeonspindle.Route{
			Name: "search", Class: wigeonspindle.ClassIdempotent, Timeout: time.Second, Aim: 100 * time.Millisecond,
			Attempts: 2, Top: 3, Coverage: 0.75,
		},
	}
	for i := range shards {
		pool := fmt.Sprintf("shard-%d", i)
		h.route.Shards = append(h.route.Shards, pool)
		h.deployment.Catalog.Pools[pool] = wigeonspindle.Pool{Name: pool, Connections: 50}
		for j, domain := range []string{"a", "b"} {
			h.deployment.Replicas[pool] = append(h.deployment.Replicas[pool], &wigeonspindle.Replica{
				ID: fmt.Sprintf("%s-%d", pool, j), Pool: pool, Domain: domain, Slots: 2,
			})
		}
	}
	return h
}

func (h *harness) call(after time.Duration) (*gatherer.CallState, gatherer.Step) {
	call := &wigeonspindle.Call{ID: "c", Arrived: at(after), CallerTimeout: time.Second}
	h.Deployment = h.deployment
	return h.StartCall(call, h.route, at(after))
}

// part returns the result of a send that the replica answered.
func part(signature string, took time.Duration) wigeonspindle.Exchange {
	return wigeonspindle.Exchange{
		Verdict: wigeonspindle.Ran, Sent: true, Took: took,
		Response: &wigeonspindle.Response{Status: 200, Signature: signature, Body: []byte("0123456789abcdef")},
	}
}

var (
	refused = wigeonspindle.Exchange{
		Verdict: wigeonspindle.NotRun, Sent: true, Response: &wigeonspindle.Response{Status: 503, Refused: true},
	}
	broken = wigeonspindle.Exchange{Verdict: wigeonspindle.MayHaveRun, Code: wigeonspindle.CodeBroken, Sent: true}
	unsent = wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeUnreachable}
	failed = wigeonspindle.Exchange{
		Verdict: wigeonspindle.Ran, Sent: true, Response: &wigeonspindle.Response{Status: 500, Signature: "f"},
	}
)

// TestAllParts guards against a reply before all parts have been answered, and against a reply
// with the wrong coverage.
func TestAllParts(t *testing.T) {
	h := newHarness(4)
	state, step := h.call(0)
	if got, want := len(step.Sends), 4; got != want {
		t.Fatalf("sends: got %d, want %d", got, want)
	}
	for i, send := range step.Sends {
		next := state.HandleResult(send, part(fmt.Sprint(i), 5*time.Millisecond), at(5*time.Millisecond))
		if got, want := next.Reply != nil, i == 3; got != want {
			t.Fatalf("reply after part %d: got %v, want %v", i, got, want)
		}
		if i == 3 {
			if got, want := next.Reply.Merged.MissingShards, 0; got != want {
				t.Errorf("missing: got %d, want %d", got, want)
			}
		}
	}
}

// TestSoftDeadline guards against a reply that is delayed beyond the latency objective by a late
// part although the coverage suffices, and against a reply below the required coverage.
func TestSoftDeadline(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered int
		reply    bool
		missing  int
	}{
		{name: "enough parts", answered: 3, reply: true, missing: 1},
		{name: "too few parts", answered: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(4)
			state, step := h.call(0)
			for _, send := range step.Sends[:test.answered] {
				state.HandleResult(send, part(send.Replica.ID, 5*time.Millisecond), at(5*time.Millisecond))
			}
			got := state.Tick(state.SoftDeadline)
			if (got.Reply != nil) != test.reply {
				t.Fatalf("reply: got %v, want %v", got.Reply != nil, test.reply)
			}
			if test.reply && got.Reply.Merged.MissingShards != test.missing {
				t.Errorf("missing: got %d, want %d", got.Reply.Merged.MissingShards, test.missing)
			}
		})
	}
}

// TestDecidedSends guards against a step with both a reply and sends. Such sends are never made,
// and their replicas would count as silent from then on.
func TestDecidedSends(t *testing.T) {
	h := newHarness(4)
	state, step := h.call(0)
	for _, send := range step.Sends[:3] {
		state.HandleResult(send, part(send.Replica.ID, 5*time.Millisecond), at(5*time.Millisecond))
	}
	late := state.Tick(state.SoftDeadline) // The hedge of the last part and the reply are due at the same time.
	if got, want := len(late.Sends), 0; late.Reply == nil || got != want {
		t.Fatalf("step: got reply %v with %d sends, want a reply with %d", late.Reply != nil, got, want)
	}
	state.HandleResult(step.Sends[3], broken, at(200*time.Millisecond))
	for i, replica := range h.deployment.Replicas["shard-3"] {
		other := h.deployment.Replicas["shard-3"][1-i]
		if _, ok := h.Selector.Pick(h.deployment, "shard-3", []string{other.ID}, 5*time.Millisecond, at(10*time.Second)); !ok {
			t.Errorf("replica %s after 10 s: got unusable, want usable", replica.ID)
		}
	}
}

// TestRepeat guards against a retry of a request that must run at most once and may have run, and
// against a failed send that is not retried on another replica.
func TestRepeat(t *testing.T) {
	for _, test := range []struct {
		name     string
		class    wigeonspindle.Class
		exchange wigeonspindle.Exchange
		retried  bool
		verdict  wigeonspindle.Verdict // verdict is that of the refusal when the send is not retried.
	}{
		{name: "idempotent refused", class: wigeonspindle.ClassIdempotent, exchange: refused, retried: true},
		{name: "idempotent broken", class: wigeonspindle.ClassIdempotent, exchange: broken, retried: true},
		{name: "idempotent failed", class: wigeonspindle.ClassIdempotent, exchange: failed, retried: true},
		{name: "once refused", class: wigeonspindle.ClassOnce, exchange: refused, retried: true},
		{name: "once unsent", class: wigeonspindle.ClassOnce, exchange: unsent, retried: true},
		{name: "once broken", class: wigeonspindle.ClassOnce, exchange: broken, verdict: wigeonspindle.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(1)
			h.route.Class, h.route.Shards = test.class, nil
			h.route.Split = []wigeonspindle.Share{{Pool: "shard-0", Weight: 1}}
			state, step := h.call(0)
			next := state.HandleResult(step.Sends[0], test.exchange, at(10*time.Millisecond))
			if got, want := len(next.Sends) == 1, test.retried; got != want {
				t.Fatalf("retried: got %v, want %v", got, want)
			}
			if test.retried {
				if got := next.Sends[0].Replica.ID; got == step.Sends[0].Replica.ID {
					t.Errorf("replica of the retry: got %s again, want another", got)
				}
				return
			}
			if next.Reply == nil || next.Reply.Refusal == nil {
				t.Fatalf("reply: got %+v, want a refusal", next.Reply)
			}
			if got, want := next.Reply.Refusal.Verdict, test.verdict; got != want {
				t.Errorf("verdict: got %v, want %v", got, want)
			}
		})
	}
}

// TestAttempts guards against a call that runs on more replicas than its route allows.
func TestAttempts(t *testing.T) {
	h := newHarness(1)
	h.deployment.Replicas["shard-0"] = append(h.deployment.Replicas["shard-0"], &wigeonspindle.Replica{ID: "third", Pool: "shard-0", Domain: "a", Slots: 2})
	state, step := h.call(0)
	next := state.HandleResult(step.Sends[0], broken, at(time.Millisecond))
	if got, want := len(next.Sends), 1; got != want {
		t.Fatalf("sends after the first failure: got %d, want %d", got, want)
	}
	last := state.HandleResult(next.Sends[0], broken, at(2*time.Millisecond))
	if got, want := len(last.Sends), 0; got != want {
		t.Errorf("sends after the second failure: got %d, want %d", got, want)
	}
	if last.Reply == nil {
		t.Error("reply: got none, want a refusal at once")
	}
}

// TestHedge guards against a part that is not hedged while its replica is paused and another one
// is usable, and against a hedge of a call that must run at most once.
func TestHedge(t *testing.T) {
	for _, test := range []struct {
		class wigeonspindle.Class
		want  int
	}{{wigeonspindle.ClassIdempotent, 1}, {wigeonspindle.ClassOnce, 0}} {
		t.Run(string(test.class), func(t *testing.T) {
			h := newHarness(1)
			h.route.Class = test.class
			state, step := h.call(0)
			if got, want := step.NextTick.Before(state.SoftDeadline), test.want == 1; got != want {
				t.Errorf("tick before the soft deadline: got %v, want %v", got, want)
			}
			if got := len(state.Tick(step.NextTick).Sends); got != test.want && test.want == 1 {
				t.Errorf("hedges: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestUnservable guards against a call that is not refused at once although no replica is usable.
func TestUnservable(t *testing.T) {
	h := newHarness(4)
	h.deployment.OutDomains = map[string]bool{"a": true, "b": true}
	state, step := h.call(0)
	if step.Reply == nil || step.Reply.Refusal == nil || !state.Decided() {
		t.Fatalf("reply: got %+v, want a refusal at once", step.Reply)
	}
	if got, want := step.Reply.Refusal.Verdict, wigeonspindle.NotRun; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
	if step.Reply.RetryAfter <= 0 {
		t.Errorf("retry after: got %v, want more than 0", step.Reply.RetryAfter)
	}
}

// TestHardDeadline guards against a call that is not ended at the time-out of its route.
func TestHardDeadline(t *testing.T) {
	h := newHarness(4)
	state, _ := h.call(0)
	if got := state.Tick(state.HardDeadline); got.Reply == nil || got.Reply.Refusal == nil || got.Reply.Refusal.Verdict == wigeonspindle.NotRun {
		t.Errorf("reply: got %+v, want a refusal with a verdict other than not-run", got.Reply)
	}
	if got, latest := state.HardDeadline, at(time.Second); got.After(latest) {
		t.Errorf("hard deadline: got %v, want at most %v", got, latest)
	}
}

// TestSplit guards against pools of a route whose share of the calls differs from their weight.
func TestSplit(t *testing.T) {
	h := newHarness(2)
	h.route.Shards = nil
	h.route.Split = []wigeonspindle.Share{{Pool: "shard-0", Weight: 3}, {Pool: "shard-1", Weight: 1}}
	counts := make(map[string]int)
	for i := range 400 {
		now := time.Duration(i) * time.Second
		state, step := h.call(now)
		counts[step.Sends[0].Replica.Pool]++
		state.HandleResult(step.Sends[0], part("s", time.Millisecond), at(now))
	}
	if got, want := counts["shard-0"], 300; got < want-2 || got > want+2 {
		t.Errorf("calls of the pool with weight 3: got %d, want %d", got, want)
	}
}

// TestRetryAfterJitter guards against refused callers that are all told to retry at the same time.
func TestRetryAfterJitter(t *testing.T) {
	h := newHarness(4)
	h.deployment.OutDomains = map[string]bool{"a": true, "b": true}
	times := make(map[time.Duration]bool)
	for range 20 {
		_, step := h.call(0)
		times[step.Reply.RetryAfter] = true
	}
	if got, want := len(times), 15; got < want {
		t.Errorf("distinct retry times of 20 callers: got %d, want at least %d", got, want)
	}
}

// TestUnsigned guards against passing on a failure that the replica did not sign. Its status would
// tell the caller that the call has not run.
func TestUnsigned(t *testing.T) {
	for _, test := range []struct {
		name      string
		signature string
		passed    bool
	}{{"signed", "s", true}, {"unsigned", "", false}} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(1)
			h.route.Class, h.route.Shards = wigeonspindle.ClassOnce, nil
			h.route.Split = []wigeonspindle.Share{{Pool: "shard-0", Weight: 1}}
			state, step := h.call(0)
			next := state.HandleResult(step.Sends[0], wigeonspindle.Exchange{
				Verdict: wigeonspindle.Ran, Sent: true, Response: &wigeonspindle.Response{Status: 503, Signature: test.signature},
			}, at(time.Millisecond))
			if next.Reply == nil {
				t.Fatal("reply: got none, want one")
			}
			if got, want := next.Reply.Response != nil, test.passed; got != want {
				t.Errorf("failure passed on: got %v, want %v", got, want)
			}
			if !test.passed && next.Reply.Refusal.Verdict == wigeonspindle.NotRun {
				t.Errorf("verdict: got %v, want another than not-run", next.Reply.Refusal.Verdict)
			}
		})
	}
}

// TestArrival guards against replies that reach a caller after the latency objective or the
// caller's time-out, because its round trip is long or it had waited before the call arrived.
func TestArrival(t *testing.T) {
	const fullTimeout = 500 * time.Millisecond
	for _, test := range []struct {
		name   string
		call   wigeonspindle.Call
		waited time.Duration // waited is the part of the latency objective that has passed.
	}{
		{"near", wigeonspindle.Call{CallerTimeout: fullTimeout, RoundTrip: time.Millisecond}, 0},
		{"far", wigeonspindle.Call{CallerTimeout: fullTimeout, RoundTrip: 9 * time.Millisecond}, 0},
		{"opened a connection", wigeonspindle.Call{CallerTimeout: fullTimeout, RoundTrip: 9 * time.Millisecond, ConnectTime: 9 * time.Millisecond}, 9 * time.Millisecond},
		{"used discovery", wigeonspindle.Call{CallerTimeout: fullTimeout - 6*time.Millisecond, RoundTrip: 2 * time.Millisecond}, 6 * time.Millisecond},
		{"used discovery and opened a connection", wigeonspindle.Call{
			CallerTimeout: fullTimeout - 10*time.Millisecond, RoundTrip: 4 * time.Millisecond, ConnectTime: 4 * time.Millisecond,
		}, 10 * time.Millisecond},
		{"states no time-out", wigeonspindle.Call{RoundTrip: 4 * time.Millisecond, ConnectTime: 4 * time.Millisecond}, 4 * time.Millisecond},
		{"retries after a refusal", wigeonspindle.Call{CallerTimeout: fullTimeout - 70*time.Millisecond, RoundTrip: 2 * time.Millisecond}, 0},
		{"latency objective has passed", wigeonspindle.Call{CallerTimeout: fullTimeout - 300*time.Millisecond, RoundTrip: 2 * time.Millisecond}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(4)
			first := &wigeonspindle.Call{ID: "u", Arrived: at(0), CallerTimeout: fullTimeout}
			h.Deployment = h.deployment
			h.StartCall(first, h.route, at(0))
			call := test.call
			call.ID, call.Arrived = "c", at(time.Second)
			state, _ := h.StartCall(&call, h.route, call.Arrived)
			left := h.route.Aim - test.waited - call.RoundTrip
			if got, want := state.SoftDeadline, call.Arrived.Add(left); !got.Before(want) {
				t.Errorf("soft deadline: got %v after the call, want less than %v", got.Sub(call.Arrived), left)
			}
			if got, want := state.SoftDeadline, call.Arrived.Add(left-15*time.Millisecond); got.Before(want) {
				t.Errorf("soft deadline: got %v after the call, want at least %v", got.Sub(call.Arrived), left-15*time.Millisecond)
			}
			if call.CallerTimeout == 0 {
				return
			}
			if got, want := state.HardDeadline, call.Arrived.Add(call.CallerTimeout-call.RoundTrip); !got.Before(want) {
				t.Errorf("hard deadline: got %v after the call, want less than %v", got.Sub(call.Arrived), call.CallerTimeout-call.RoundTrip)
			}
		})
	}
}

// TestStandby guards against many standby hosts with few calls each that together exceed the
// operators' limit of retries to a pool that refuses calls.
func TestStandby(t *testing.T) {
	const hosts, serving, callsPerHost = 107, 8, 5
	const ratio, slack = 0.2, 278
	retries, calls := 0, 0
	for host := range hosts {
		h := newHarness(1)
		h.Budget = &budgeter.Budgeter{Ratio: ratio, Slack: slack, Window: 10 * time.Second}
		h.Standby = host >= serving
		h.deployment.Peers, h.deployment.ServingPeers = make([]wigeonspindle.Peer, hosts), make([]wigeonspindle.Peer, serving)
		for i := range callsPerHost {
			calls++
			state, step := h.call(time.Duration(i) * time.Second)
			now := at(time.Duration(i) * time.Second)
			for sends := step.Sends; step.Reply == nil; {
				for _, send := range sends {
					now = now.Add(time.Millisecond)
					step = state.HandleResult(send, refused, now)
					retries += len(step.Sends)
				}
				if sends = step.Sends; len(sends) == 0 && step.Reply == nil {
					now = step.NextTick
					step = state.Tick(now)
					sends = step.Sends
					retries += len(sends)
				}
			}
		}
	}
	if got, want := retries, int(ratio*float64(calls)+slack); got > want {
		t.Errorf("retries of all hosts in a window: got %d, want at most %d", got, want)
	}
}

// TestFinishBy guards against a call without a reply when the host stops, and against one that is
// started although it cannot be finished before.
func TestFinishBy(t *testing.T) {
	h := newHarness(2)
	const took, stop = 40 * time.Millisecond, 500 * time.Millisecond
	for i := range 20 { // The host learns how long the calls take.
		start := time.Duration(i) * time.Millisecond
		state, step := h.call(start)
		for _, send := range step.Sends {
			state.HandleResult(send, part("s", took), at(start+took))
		}
	}
	running, _ := h.call(100 * time.Millisecond)
	h.FinishBy = at(stop)
	step := running.FinishBy(at(stop), at(110*time.Millisecond))
	if step.Reply != nil || step.NextTick.After(at(stop)) {
		t.Errorf("running call: got reply %+v and next tick %v, want a tick before the stop", step.Reply, step.NextTick.Sub(at(0)))
	}
	if reply := running.Tick(at(stop)).Reply; reply == nil || reply.Refusal == nil || reply.Refusal.Verdict != wigeonspindle.MayHaveRun {
		t.Errorf("running call at the stop: got %+v, want a refusal that may have run", reply)
	}
	if state, step := h.call(stop - 3*took); step.Reply != nil || state.HardDeadline.After(at(stop)) {
		t.Errorf("call with enough time: got reply %+v and deadline %v, want it started", step.Reply, state.HardDeadline.Sub(at(0)))
	}
	_, step = h.call(stop - took/2)
	if step.Reply == nil || step.Reply.Refusal == nil || step.Reply.Refusal.Code != wigeonspindle.CodeLeaving || len(step.Sends) > 0 {
		t.Fatalf("call with too little time: got %+v, want a refusal with code leaving", step.Reply)
	}
	if got, want := step.Reply.Refusal.Verdict, wigeonspindle.NotRun; got != want {
		t.Errorf("verdict of the refusal: got %v, want %v", got, want)
	}
}
