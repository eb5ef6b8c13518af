package converter_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/converter"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
)

var now = time.Unix(1_700_000_000, 0)

// sampleEnvelopes returns one message of each kind with most of its fields set.
func sampleEnvelopes() []wigeonspindle.Envelope {
	identity := wigeonspindle.Identity{Incarnation: "i1", Issued: now, Nonce: "n1"}
	id := wigeonspindle.AttemptID{EntryHost: "i1", Counter: 9}
	targets := []wigeonspindle.ClaimTarget{{Target: "t1", Level: 0.5}}
	roster := wigeonspindle.Roster{Era: 2, Seats: []wigeonspindle.Seat{{Host: "h1", Incarnation: "i1", Domain: "a", Term: 3}}}
	override := wigeonspindle.Override{Domain: "a", Out: true, Stamp: wigeonspindle.Timestamp{Wall: now, Logical: 1}, Author: "me", Expires: now}
	envelopes := []wigeonspindle.Envelope{
		{Heartbeat: &wigeonspindle.Heartbeat{
			Host:    wigeonspindle.Host{Name: "h1", Incarnation: "i1", Domain: "a", Cell: "main", CallerAddress: "c", LinkAddress: "l", AdminAddress: "o"},
			Leaving: true, Revision: 7, Era: 2, Terms: []uint64{1, 2}, HeardHosts: []string{"h2"},
			Overrides: []wigeonspindle.Override{override}, LeavingTargets: []string{"t1"},
		}},
		{Attempts: []wigeonspindle.Attempt{{
			ID: id, Query: 4, Trace: "q1", Target: "t1", Index: "lookup", Shard: "s1", Snapshot: "v1", Generation: 1,
			Class: wigeonspindle.ClassOnce, Identity: identity, Body: []byte("wool"), Deadline: now.Add(time.Second),
			Fingerprint: 5, Exclusive: true, Hedge: true,
		}}},
		{Cancels: []wigeonspindle.Cancel{{ID: id, Target: "t1"}}},
		{Outcomes: []wigeonspindle.Outcome{{
			ID: id, Query: 4, Target: "t1", Shard: "s1", Snapshot: "v1", Generation: 1, Verdict: wigeonspindle.NotRun,
			Code: wigeonspindle.CodeShed, Message: "m", Body: []byte("b"), Took: time.Second,
			Load:    wigeonspindle.Load{Waiting: 1, Running: 2, Level: 0.5, Expected: time.Millisecond},
			Crashed: true, ConcurrentAttempts: 2,
		}}},
		{Forward: &wigeonspindle.Forward{Counter: 1, Query: wigeonspindle.Query{
			Trace: "q1", Caller: "c", Index: "lookup", Shards: []string{"s1"}, Body: []byte("wool"),
			Class: wigeonspindle.ClassOnce, Identity: identity, Arrived: now, Deadline: now.Add(time.Second),
		}}},
		{Forwarded: &wigeonspindle.Forwarded{Counter: 1, Answer: wigeonspindle.Answer{Trace: "q1", Verdict: wigeonspindle.Ran}}},
		{Claim: &wigeonspindle.Claim{Holder: "i1", Era: 2, Counter: 3, Targets: targets}},
		{Grant: &wigeonspindle.Grant{
			Voter: "i1", Era: 2, Seat: 1, Terms: []uint64{1}, Counter: 3, Lease: time.Second, Targets: targets, Denied: []string{"t2"},
		}},
		{Release: &wigeonspindle.Release{Holder: "i1", Targets: targets}},
		{Notice: &wigeonspindle.Notice{Roster: roster}},
		{Acknowledgement: &wigeonspindle.Acknowledgement{Voter: "i1", Era: 2, Seat: 1, Term: 3, Incarnation: "i2"}},
		{Pull: &wigeonspindle.Pull{After: 7}},
		{Delta: &wigeonspindle.Delta{From: 6, Config: wigeonspindle.Config{Revision: 7}, Names: []string{"lookup"}}},
		{Suspicion: &wigeonspindle.Suspicion{Fingerprint: 5, Crash: "t1-1f", Score: 0.5, Pool: "p1", Target: "t1", Expires: now.Add(time.Minute), Simultaneous: true, Wide: true, Cleared: true}},
		{Override: &override},
	}
	for i := range envelopes {
		envelopes[i].From = "h1"
		envelopes[i].Stamp = wigeonspindle.Timestamp{Wall: now, Logical: 2}
	}
	return envelopes
}

// TestRoundTrip guards against fields that encoding or decoding drops.
func TestRoundTrip(t *testing.T) {
	for _, want := range sampleEnvelopes() {
		frame, err := converter.Encode(want, now)
		if err != nil {
			t.Fatal(err)
		}
		got, err := converter.Decode(frame, "h1", now)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("message: got %+v, want %+v", got, want)
		}
	}
}

// TestUntrustedNumbers guards against invalid numbers from a faulty peer: they must not turn
// into a verdict that allows a retry, nor into a level or score that comparisons cannot handle.
func TestUntrustedNumbers(t *testing.T) {
	for _, wire := range []uint32{0, 4, 256, 257, 259, math.MaxUint32} {
		frame := &messenger.Frame{Body: &messenger.Frame_Outcomes{Outcomes: &messenger.Outcomes{Outcomes: []*messenger.Outcome{{Verdict: wire}}}}}
		got, err := converter.Decode(frame, "h1", now)
		if err != nil || got.Outcomes[0].Verdict != wigeonspindle.MayHaveRun {
			t.Errorf("verdict %d: got %+v (%v), want may-have-run", wire, got.Outcomes, err)
		}
	}
	for _, wire := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 2} {
		claim := &messenger.Claim{Targets: []*messenger.ClaimTarget{{Target: "t1", Level: wire}}}
		got, err := converter.Decode(&messenger.Frame{Body: &messenger.Frame_Claim{Claim: claim}}, "h1", now)
		if err != nil || got.Claim.Targets[0].Level != 0 {
			t.Errorf("level %g: got %+v (%v), want 0", wire, got.Claim, err)
		}
	}
	for _, wire := range []float64{math.NaN(), math.Inf(1), -1} {
		suspicion := &messenger.Suspicion{Points: wire}
		got, err := converter.Decode(&messenger.Frame{Body: &messenger.Frame_Suspicion{Suspicion: suspicion}}, "h1", now)
		if err != nil || got.Suspicion.Score != 0 {
			t.Errorf("score %g: got %+v (%v), want 0", wire, got.Suspicion, err)
		}
	}
}

// FuzzDecode guards against frames from a faulty peer that crash the host, and against
// messages that change when they are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	for _, message := range sampleEnvelopes() {
		frame, err := converter.Encode(message, now)
		if err != nil {
			f.Fatal(err)
		}
		data, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame messenger.Frame
		if proto.Unmarshal(data, &frame) != nil {
			return
		}
		first, err := converter.Decode(&frame, "h1", now)
		if err != nil {
			return
		}
		reencoded, err := converter.Encode(first, now)
		if err != nil {
			return // An empty list has no encoded form.
		}
		second, err := converter.Decode(reencoded, "h1", now)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(first, second) {
			t.Errorf("message: got %+v, want %+v", second, first)
		}
	})
}
