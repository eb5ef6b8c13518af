package gatherer_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/budgeter"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
)

// crash runs a call that crashes the replicas for which crashes returns true, until the call is
// decided. It returns the number of crashed replicas and the reply.
func (h *harness) crash(t *testing.T, start time.Duration, crashes func(replica *wigeonspindle.Replica) bool) (int, *wigeonspindle.CallReply) {
	t.Helper()
	h.Deployment = h.deployment
	return h.play(t, &wigeonspindle.Call{ID: "c", Arrived: at(start), CallerTimeout: time.Second}, crashes)
}

// play runs a call like crash.
func (h *harness) play(t *testing.T, call *wigeonspindle.Call, crashes func(replica *wigeonspindle.Replica) bool) (int, *wigeonspindle.CallReply) {
	t.Helper()
	crashed := 0
	state, step := h.StartCall(call, h.route, call.Arrived)
	now := call.Arrived.Sub(at(0))
	for rounds := 0; step.Reply == nil; rounds++ {
		if rounds == 1000 {
			t.Fatal("call: got no reply in 1000 rounds, want one")
		}
		sends, nextTick := step.Sends, step.NextTick
		now += time.Millisecond
		if len(sends) == 0 {
			now = max(now, nextTick.Sub(at(0)))
			step = state.Tick(at(now))
			continue
		}
		step = gatherer.Step{NextTick: nextTick}
		for _, send := range sends { // All of them were made, also if an early result decides the call.
			exchange := part(send.Replica.ID, time.Millisecond)
			if crashes(send.Replica) {
				exchange = broken
			}
			next := state.HandleResult(send, exchange, at(now))
			if crashes(send.Replica) {
				crashed++
				h.RecordReachability(send.Replica, wigeonspindle.Unreachable, at(now), at(now))
			}
			step.Sends, step.NextTick = append(step.Sends, next.Sends...), next.NextTick
			if next.Reply != nil {
				step.Reply = next.Reply
			}
		}
		if step.Reply != nil {
			return crashed, step.Reply
		}
	}
	return crashed, step.Reply
}

// TestCrashing guards against a call that crashes the replicas of all shards one after another
// through its retries, and again when the caller repeats it.
func TestCrashing(t *testing.T) {
	h := newHarness(8)
	first, reply := h.crash(t, 0, all)
	// The 8 first sends are made before any result is known. One retry then gives the evidence.
	if got, want := first, 9; got > want {
		t.Errorf("replicas crashed by the first call: got %d of 16, want at most %d", got, want)
	}
	if got, want := reply.Refusal.Verdict, wigeonspindle.MayHaveRun; got != want {
		t.Errorf("verdict of the first call: got %v, want %v", got, want)
	}
	// 20 s later the replicas have restarted.
	crashed, reply := h.crash(t, 20*time.Second, all)
	if crashed != 0 || reply.Refusal == nil || reply.Refusal.Code != wigeonspindle.CodeQuarantined {
		t.Errorf("repeated call: got %d replicas crashed and refusal %+v, want code quarantined", crashed, reply.Refusal)
	}
	if got, want := reply.Refusal.Verdict, wigeonspindle.NotRun; got != want {
		t.Errorf("verdict of the refusal: got %v, want %v", got, want)
	}
	if reply.RetryAfter <= 0 || reply.RetryAfter > time.Minute {
		t.Errorf("retry after: got %v, want the remaining time of the quarantine", reply.RetryAfter)
	}
}

// TestDomainCrash guards against the quarantine of calls that ran in a failed failure domain, and
// against parts that are not retried in another failure domain.
func TestDomainCrash(t *testing.T) {
	h := newHarness(8)
	inDomainA := func(replica *wigeonspindle.Replica) bool { return replica.Domain == "a" }
	for i := range 3 {
		_, reply := h.crash(t, time.Duration(i)*5*time.Second, inDomainA)
		if reply.Merged == nil || reply.Merged.MissingShards != 0 {
			t.Fatalf("call %d: got %+v, want an answer without missing shards", i, reply)
		}
	}
}

// TestCrashingOneShard guards against a call that crashes the replicas of one shard at each attempt,
// while the answers of the other shards withdraw the evidence.
func TestCrashingOneShard(t *testing.T) {
	h := newHarness(8)
	inShard := func(replica *wigeonspindle.Replica) bool { return replica.Pool == "shard-3" }
	first, _ := h.crash(t, 0, inShard)
	second, reply := h.crash(t, 20*time.Second, inShard)
	if got, want := first+second, 2; got > want {
		t.Errorf("replicas crashed by two attempts: got %d, want at most %d", got, want)
	}
	if reply.Refusal == nil || reply.Refusal.Code != wigeonspindle.CodeQuarantined {
		t.Errorf("second attempt: got %+v, want code quarantined", reply)
	}
}

// TestSuspectedSearch guards against a search that crashes a replica of every shard, or again and
// again one of the same shard, while it is suspected but not yet quarantined.
func TestSuspectedSearch(t *testing.T) {
	for _, test := range []struct {
		name    string
		crashes func(replica *wigeonspindle.Replica) bool
		want    []int // want holds the largest number of replicas that each attempt may crash.
	}{
		{"all shards", func(*wigeonspindle.Replica) bool { return true }, []int{8, 1, 0}},
		{"one shard", func(replica *wigeonspindle.Replica) bool { return replica.Pool == "shard-3" }, []int{1, 1, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(8)
			h.Budget = &budgeter.Budgeter{Window: 10 * time.Second} // Without retries, one attempt gives too little evidence.
			for i, want := range test.want {
				if got, _ := h.crash(t, time.Duration(i)*20*time.Second, test.crashes); got > want {
					t.Errorf("replicas crashed by attempt %d: got %d, want at most %d", i+1, got, want)
				}
			}
		})
	}
}

// TestSuspectedSearchAnswered guards against a search that stays incomplete because it was once
// lost with replicas that crashed for another reason.
func TestSuspectedSearchAnswered(t *testing.T) {
	h := newHarness(8)
	h.Budget = &budgeter.Budgeter{Window: 10 * time.Second}
	h.crash(t, 0, func(*wigeonspindle.Replica) bool { return true })
	for i := range 2 {
		crashed, reply := h.crash(t, time.Duration(i+1)*20*time.Second, func(*wigeonspindle.Replica) bool { return false })
		if crashed != 0 || reply.Merged == nil || reply.Merged.MissingShards != 0 {
			t.Errorf("attempt %d after the crash: got %+v, want an answer without missing shards", i+1, reply)
		}
	}
}
