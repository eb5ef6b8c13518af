package gatherer_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// search returns a search of a caller that arrives at the given offset. All searches have the same path.
func search(caller, terms string, after time.Duration) *wigeonspindle.Call {
	return &wigeonspindle.Call{
		ID: terms, Caller: caller, Method: "GET", Authority: "shop.example", RequestURI: "/search/all?q=" + terms, Arrived: at(after), CallerTimeout: time.Second,
	}
}

// none and all are the replicas that a sound call and one that crashes each replica end.
func none(*wigeonspindle.Replica) bool { return false }
func all(*wigeonspindle.Replica) bool  { return true }

// playSearches runs searches with terms of their own in a span of time and returns the number that is not answered.
func (h *harness) playSearches(t *testing.T, from, until, interval time.Duration) int {
	t.Helper()
	refused := 0
	for now := from; now < until; now += interval {
		if _, reply := h.play(t, search(fmt.Sprintf("10.0.0.%d", now/interval%5), fmt.Sprint(now), now), none); reply.Merged == nil {
			refused++
		}
	}
	return refused
}

// TestCrashingSearchBesideOthers guards against refusing all searches of a path because one of them, which loses both
// replicas of a shard before another search is answered, crashes replicas.
func TestCrashingSearchBesideOthers(t *testing.T) {
	h := newHarness(8)
	h.Deployment = h.deployment
	h.playSearches(t, 0, 5*time.Second, 100*time.Millisecond)
	for i := range 3 {
		begin := 5*time.Second + time.Duration(i)*20*time.Second
		crashing := func(after time.Duration) *wigeonspindle.Call {
			return search(fmt.Sprintf("10.0.1.%d", i), fmt.Sprintf("crash%d", i), begin+after)
		}
		if crashed, _ := h.play(t, crashing(0), all); crashed < 2 {
			t.Fatalf("replicas that search %d crashes: got %d, want at least 2", i, crashed)
		}
		// The replicas have restarted.
		if got, want := h.playSearches(t, begin+10*time.Second, begin+20*time.Second, 100*time.Millisecond), 0; got != want {
			t.Errorf("searches of others refused after search %d: got %d of 100, want %d", i, got, want)
		}
		_, reply := h.play(t, crashing(20*time.Second-time.Millisecond), all)
		if reply.Refusal == nil || reply.Refusal.Code != wigeonspindle.CodeQuarantined {
			t.Errorf("search %d again: got %+v, want code quarantined", i, reply)
		}
	}
}

// TestShardLostAtOnce guards against refusing all searches of a path because one of them ran on both replicas of a shard
// when these were lost within some milliseconds, at a host that has not had an answer for a while.
func TestShardLostAtOnce(t *testing.T) {
	h := newHarness(8)
	h.Deployment = h.deployment
	inShard := func(replica *wigeonspindle.Replica) bool { return replica.Pool == "shard-3" }
	if lost, _ := h.play(t, search("10.0.0.1", "lost", 0), inShard); lost != 2 {
		t.Fatalf("replicas that are lost under the search: got %d, want 2", lost)
	}
	for _, caller := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		if _, reply := h.play(t, search(caller, "another", 20*time.Second), none); reply.Merged == nil || reply.Merged.MissingShards != 0 {
			t.Errorf("another search of %s: got %+v, want an answer without missing shards", caller, reply)
		}
	}
}

// claimTrial starts a search that is refused as quarantined and enters the trial that it claims.
func (h *harness) claimTrial(t *testing.T, call *wigeonspindle.Call) {
	t.Helper()
	state, step := h.StartCall(call, h.route, call.Arrived)
	if step.Reply == nil || step.Reply.Refusal.Code != wigeonspindle.CodeQuarantined || len(state.TrialClaims) == 0 {
		t.Fatalf("search of a quarantined path: got %+v with the claims %+v, want a refusal and a claim", step.Reply, state.TrialClaims)
	}
	h.Correlator.Quarantiner.Sync(append(h.Correlator.Quarantiner.Suspicions(call.Arrived), state.TrialClaims...), call.Arrived)
}

// TestTrialOfSearch guards against a trial that crashes a replica of every shard, and against one that is not complete
// although its replicas answer.
func TestTrialOfSearch(t *testing.T) {
	h := newHarness(8)
	h.Deployment = h.deployment
	inShard := func(replica *wigeonspindle.Replica) bool { return replica.Pool == "shard-3" }
	for i, after := range []time.Duration{0, 5 * time.Second} {
		h.play(t, search("10.0.0.1", fmt.Sprint("lost", i), after), inShard)
	}
	h.claimTrial(t, search("10.0.0.2", "first", 15*time.Second))
	if got, _ := h.play(t, search("10.0.0.3", "second", 15*time.Second), all); got != 1 {
		t.Errorf("replicas crashed by a trial: got %d, want 1", got)
	}
	h.claimTrial(t, search("10.0.0.4", "third", 27*time.Second))
	if _, reply := h.play(t, search("10.0.0.5", "fourth", 27*time.Second), none); reply.Merged == nil || reply.Merged.MissingShards != 0 {
		t.Errorf("trial whose replicas answer: got %+v, want an answer without missing shards", reply)
	}
	if _, reply := h.play(t, search("10.0.0.6", "fifth", 28*time.Second), none); reply.Merged == nil {
		t.Errorf("search after a trial that was answered: got %+v, want an answer", reply)
	}
}

// TestCrashingSearchOfManyCallers guards against a search that crashes replicas of all shards at one moment and is sent
// again for another caller, or with other terms, when they are back.
func TestCrashingSearchOfManyCallers(t *testing.T) {
	for name, again := range map[string]*wigeonspindle.Call{
		"another caller":                  search("10.0.0.2", "crash", 20*time.Second),
		"another caller with other terms": search("10.0.0.2", "other", 20*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(8)
			h.Deployment = h.deployment
			h.play(t, search("10.0.0.1", "crash", 0), all)
			if got, reply := h.play(t, again, all); got != 0 || reply.Refusal.Code != wigeonspindle.CodeQuarantined {
				t.Errorf("replicas crashed by the next call: got %d with %+v, want 0 and code quarantined", got, reply)
			}
		})
	}
}

// TestHedgesBeforeFirstAnswer guards against a search that crashes replicas slowly and is hedged to the second replica of
// every shard before the first one has ended, and against hedges that wait longer once a part has been answered.
func TestHedgesBeforeFirstAnswer(t *testing.T) {
	h := newHarness(8)
	state, step := h.call(0)
	first := step.Sends[0]
	hedges := make(map[int]bool)
	tick := func(from, until time.Duration) {
		for now := from; now < until; now += time.Millisecond {
			for _, send := range state.Tick(at(now)).Sends {
				hedges[send.PartIndex] = true
			}
		}
	}
	// A first hedge is due at 44 ms, 2.2 times the expected latency.
	tick(time.Millisecond, 60*time.Millisecond)
	if got, want := len(hedges), 1; got != want {
		t.Errorf("hedged parts within 16 ms before any answer: got %d, want %d", got, want)
	}
	next := state.HandleResult(first, part("s", 60*time.Millisecond), at(60*time.Millisecond))
	if got, latest := next.NextTick, at(61*time.Millisecond); got.After(latest) {
		t.Errorf("next tick after the first answer: got %v, want %v at the latest", got, latest)
	}
	tick(60*time.Millisecond, 62*time.Millisecond)
	for i := range state.Route.Shards {
		if i != first.PartIndex && !hedges[i] {
			t.Errorf("part %d after the first answer: got not hedged, want hedged", i)
		}
	}
}

// TestSearchAfterClosedConnections guards against a search that crashes the second replica of every shard at a host that
// has not heard of it, after the replicas that it crashed at another host have closed their idle connections here.
func TestSearchAfterClosedConnections(t *testing.T) {
	for _, test := range []struct {
		name          string
		closed, sends int
		after         time.Duration
	}{
		{"replicas of most shards", 6, 1, 500 * time.Millisecond},
		{"replicas of two shards", 2, 8, 500 * time.Millisecond},
		{"replicas of most shards, some time ago", 6, 8, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(8)
			for i := range test.closed {
				h.RecordIdleClosed(h.deployment.Replicas[fmt.Sprintf("shard-%d", i)][0], at(0))
			}
			state, step := h.call(test.after)
			if got, want := len(step.Sends), test.sends; got != want {
				t.Fatalf("first sends: got %d, want %d", got, want)
			}
			if test.sends > 1 {
				return
			}
			if got, most := step.Sends[0].PartIndex, test.closed; got < most {
				t.Errorf("first part: got that of shard %d, want one of a shard without a loss", got)
			}
			next := state.HandleResult(step.Sends[0], part("s", 5*time.Millisecond), at(test.after+5*time.Millisecond))
			if got, want := len(next.Sends), 7; got != want {
				t.Errorf("sends after the first answer: got %d, want %d", got, want)
			}
		})
	}
}
