package noticer_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/noticer"
)

var start = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return start.Add(after) }

func newReplica(startMs int64) *wigeonspindle.Replica {
	return &wigeonspindle.Replica{ID: "one", StartUnixMs: startMs}
}

var (
	leaving = &wigeonspindle.Response{Status: 200, Signature: "s", Leaving: true}
	success = &wigeonspindle.Response{Status: 200, Signature: "s"}
)

func refusal(retryAfter time.Duration) *wigeonspindle.Response {
	return &wigeonspindle.Response{Status: 503, Refused: true, RetryAfter: retryAfter}
}

// TestLeaving guards against a leaving replica that is forgotten when its entry expires and returns, and
// against a new run under the same ID that is taken for the old one.
func TestLeaving(t *testing.T) {
	n := noticer.Noticer{DrainPeriod: 3 * time.Second}
	replica := newReplica(1)
	if !n.Record(replica, leaving, at(0)) {
		t.Error("first response that says so: got nothing new, want something")
	}
	if n.Record(replica, leaving, at(time.Millisecond)) {
		t.Error("second response that says so: got something new, want nothing")
	}
	n.Record(replica, success, at(2*time.Millisecond)) // Sent before the replica began to leave.
	n.Retain(nil, at(time.Second))
	next := newReplica(1)
	next.Sequence++
	if !n.Leaving(next) {
		t.Error("replica whose entry returned: got it in use, want it leaving")
	}
	if !n.Accepts(replica, 0, at(time.Second)) {
		t.Error("last resort after 1 s: got none, want it")
	}
	if n.Accepts(replica, 0, at(1500*time.Millisecond)) {
		t.Error("last resort after half of the drain period: got it, want none")
	}
	if _, ok := n.AvailableAt(replica, at(2*time.Second)); ok {
		t.Error("available later: got yes, want no")
	}
	if n.Leaving(newReplica(2)) || !n.Accepts(newReplica(2), 0, at(time.Second)) {
		t.Error("next run under the same ID: got it leaving, want it in use")
	}
}

// TestUnknownDrainPeriod guards against requests to a leaving replica for a time that nobody has stated.
func TestUnknownDrainPeriod(t *testing.T) {
	var n noticer.Noticer
	n.Record(newReplica(1), leaving, at(0))
	if n.Accepts(newReplica(1), 0, at(0)) {
		t.Error("leaving replica without a drain period: got it in use, want it left out")
	}
}

// TestRefusal guards against requests to a replica that wants none for a time, also when its entry expires
// and returns or a later response names a shorter time.
func TestRefusal(t *testing.T) {
	var n noticer.Noticer
	replica := newReplica(1)
	n.Record(replica, refusal(2500*time.Millisecond), at(0))
	n.Record(replica, refusal(100*time.Millisecond), at(10*time.Millisecond))
	n.Record(replica, success, at(20*time.Millisecond)) // Was in flight.
	n.Retain(nil, at(time.Second))
	for _, after := range []time.Duration{0, time.Second, 2499 * time.Millisecond} {
		if n.Accepts(replica, 0, at(after)) {
			t.Errorf("after %v: got it in use, want it left out", after)
		}
	}
	if got, _ := n.AvailableAt(replica, at(time.Second)); !got.Equal(at(2500 * time.Millisecond)) {
		t.Errorf("available: got after %v, want after 2.5s", got.Sub(start))
	}
	if !n.Accepts(newReplica(2), 0, at(time.Second)) {
		t.Error("next run under the same ID: got it left out, want it in use")
	}
	n.Retain(nil, at(3*time.Second))
	if !n.Accepts(replica, 100, at(3*time.Second)) {
		t.Error("notice of an unknown replica after its end: got it kept, want it dropped")
	}
}

// TestRamp guards against a surge of requests at the end of a refusal.
func TestRamp(t *testing.T) {
	var n noticer.Noticer
	replica := newReplica(1)
	n.Record(replica, refusal(time.Second), at(0))
	inFlight := func() int {
		count := 0
		for count < 100 && n.Accepts(replica, count, at(time.Second)) {
			count++
		}
		return count
	}
	for _, want := range []int{1, 2, 4, 8, 16, 100} {
		if got := inFlight(); got != want {
			t.Errorf("requests in flight: got %d, want %d", got, want)
		}
		n.Record(replica, success, at(time.Second))
	}
}

// TestWrongReplica guards against a notice of one replica that is taken for that of another.
func TestWrongReplica(t *testing.T) {
	var n noticer.Noticer
	n.Record(newReplica(1), &wigeonspindle.Response{Status: 421, Refused: true, WrongReplica: true, Leaving: true, RetryAfter: time.Second}, at(0))
	if !n.Accepts(newReplica(1), 0, at(0)) {
		t.Error("replica after another one answered at its address: got it left out, want it in use")
	}
}
