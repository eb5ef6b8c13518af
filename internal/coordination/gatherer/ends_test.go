package gatherer_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

// sendEnds are all ways in which a send ends at a host. blamed says whether the end of its replica a moment later is
// evidence against the call.
var sendEnds = []struct {
	name     string
	exchange wigeonspindle.Exchange
	blamed   bool
}{
	{"signed success", part("s", time.Millisecond), false},
	{"signed failure", failed, true},
	{"signed 404", answered(wigeonspindle.Response{Status: 404, Signature: "s"}), true},
	{"signed 503 that does not deny the run", answered(wigeonspindle.Response{Status: 503, Signature: "s", RetryAfter: time.Second}), true},
	{"failure while the replica leaves", answered(wigeonspindle.Response{Status: 500, Signature: "s", Leaving: true}), true},
	{"unsigned 200", answered(wigeonspindle.Response{Status: 200}), true},
	{"unsigned 500", answered(wigeonspindle.Response{Status: 500}), true},
	{"denied run", refused, false},
	{"another replica at the address", wigeonspindle.Exchange{
		Verdict: wigeonspindle.NotRun, Sent: true, Response: &wigeonspindle.Response{Status: 421, Refused: true, WrongReplica: true},
	}, false},
	{"broken connection", broken, true},
	{"given up", wigeonspindle.Exchange{Verdict: wigeonspindle.MayHaveRun, Code: wigeonspindle.CodeCancelled, Sent: true}, true},
	{"given up before it was sent", wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeCancelled}, false},
	{"no place on a connection", wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeOverloaded}, false},
	{"no connection", unsent, false},
}

func answered(response wigeonspindle.Response) wigeonspindle.Exchange {
	return wigeonspindle.Exchange{Verdict: wigeonspindle.Ran, Sent: true, Response: &response}
}

// TestEnds guards against ways in which a send ends that leave no evidence when its replica ends a moment later, and
// against evidence from sends that have not run or have succeeded.
func TestEnds(t *testing.T) {
	single := func(class wigeonspindle.Class) func(h *harness) {
		return func(h *harness) {
			h.route.Class, h.route.Shards = class, nil
			h.route.Split = []wigeonspindle.Share{{Pool: "shard-0", Weight: 1}}
		}
	}
	search := func(*harness) {}
	for _, kind := range []struct {
		name  string
		setup func(h *harness)
		// late is when the result arrives; the caller has left if leaves is set.
		late   time.Duration
		leaves bool
	}{
		{name: "order", setup: single(wigeonspindle.ClassOnce)},
		{name: "lookup", setup: single(wigeonspindle.ClassIdempotent)},
		{name: "part of a search", setup: search},
		{name: "order whose caller has left", setup: single(wigeonspindle.ClassOnce), late: 300 * time.Millisecond, leaves: true},
		{name: "part of a search whose caller has left", setup: search, late: 300 * time.Millisecond, leaves: true},
		{name: "order past its deadline", setup: single(wigeonspindle.ClassOnce), late: 1200 * time.Millisecond},
		{name: "part of a search past its deadline", setup: search, late: 1200 * time.Millisecond},
	} {
		for _, end := range sendEnds {
			t.Run(kind.name+"/"+end.name, func(t *testing.T) {
				h := newHarness(4)
				kind.setup(h)
				state, step := h.call(0)
				send, now := step.Sends[0], at(kind.late+time.Millisecond)
				if kind.leaves {
					state.Cancel()
				} else if kind.late > 0 {
					state.Tick(now)
				}
				state.HandleResult(send, end.exchange, now)
				if got, want := !state.WatchUntil.IsZero(), end.blamed; got != want {
					t.Errorf("replica is watched: got %t, want %t", got, want)
				}
				h.checkBlamed(t, state.Fingerprints()[0], send.Replica, now, end.blamed)
			})
		}
	}
}

// checkBlamed checks whether the end of a replica shortly after a time is evidence against a call, also if the replica
// has accepted a connection meanwhile.
func (h *harness) checkBlamed(t *testing.T, fingerprint quarantiner.Fingerprint, replica *wigeonspindle.Replica, now time.Time, want bool) {
	t.Helper()
	h.RecordReachability(replica, wigeonspindle.Reachable, now.Add(time.Millisecond), now.Add(2*time.Millisecond))
	suspicions := h.RecordReachability(replica, wigeonspindle.Ended, now.Add(500*time.Millisecond), now.Add(500*time.Millisecond))
	state := h.Correlator.Quarantiner.State(fingerprint.Hash, now.Add(time.Second))
	if got := len(suspicions) > 0 && state == quarantiner.Suspect; got != want {
		t.Errorf("end of the replica is evidence: got %t (%+v), want %t", got, suspicions, want)
	}
}

// TestHedgeEnds guards against a hedge, or the send that it hedged, that leaves no evidence when it is given up, and
// against evidence from the loser of a call that another replica has answered.
func TestHedgeEnds(t *testing.T) {
	givenUp := wigeonspindle.Exchange{Verdict: wigeonspindle.MayHaveRun, Code: wigeonspindle.CodeCancelled, Sent: true}
	for _, test := range []struct {
		name   string
		winner wigeonspindle.Exchange // winner is the result of the hedge.
		want   bool
	}{
		{"both given up", givenUp, true},
		{"the other one failed", failed, true},
		{"the other one answered", part("s", time.Millisecond), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(4)
			state, step := h.call(0)
			hedge := step.Sends[0]
			for now := time.Millisecond; now < 500*time.Millisecond && hedge == step.Sends[0]; now += time.Millisecond {
				for _, send := range state.Tick(at(now)).Sends {
					if send.PartIndex == step.Sends[0].PartIndex {
						hedge = send
					}
				}
			}
			if hedge == step.Sends[0] {
				t.Fatal("hedge of the first part: got none, want one")
			}
			now := at(600 * time.Millisecond)
			state.HandleResult(hedge, test.winner, now)
			state.Cancel()
			state.HandleResult(step.Sends[0], givenUp, now)
			h.checkBlamed(t, state.Fingerprints()[0], step.Sends[0].Replica, now, test.want)
		})
	}
}
