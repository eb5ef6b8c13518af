package evictor_test

import (
	"slices"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/coordination/evictor"
)

// start is the time at which the tests begin.
var start = time.Unix(1700000000, 0)

// TestChoosePlace guards against new connections that are kept out by connections whose clients send no whole request, and
// against the end of requests that are being handled.
func TestChoosePlace(t *testing.T) {
	type place struct {
		stage  evictor.Stage
		waited time.Duration
	}
	const none = -1
	for _, test := range []struct {
		name   string
		places []place
		victim int
		wait   time.Duration
	}{
		{"no place", nil, none, 0},
		{"all are handled", []place{{evictor.Handling, time.Hour}, {evictor.Handling, time.Minute}}, none, 0},
		{"the oldest incomplete request", []place{{evictor.Receiving, time.Second}, {evictor.Receiving, time.Minute}, {evictor.Handling, time.Hour}}, 1, 0},
		{"the longest idle one", []place{{evictor.Receiving, time.Second}, {evictor.Idle, time.Minute}}, 1, 0},
		{"an answer that is not read, last", []place{{evictor.Replying, time.Hour}, {evictor.Idle, 2 * time.Second}}, 1, 0},
		{"an answer that is not read, alone", []place{{evictor.Replying, 2 * time.Second}, {evictor.Replying, time.Hour}}, 1, 0},
		{"requests that have just begun", []place{{evictor.Receiving, 100 * time.Millisecond}, {evictor.Receiving, 50 * time.Millisecond}}, none, 150 * time.Millisecond},
		{"connections that have just been used", []place{{evictor.Idle, 900 * time.Millisecond}, {evictor.Replying, time.Millisecond}}, none, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var places []*evictor.Place
			for _, p := range test.places {
				places = append(places, &evictor.Place{Stage: p.stage, Since: start.Add(-p.waited)})
			}
			victim, wait := evictor.ChoosePlace(slices.Values(places), start)
			if got, want := slices.Index(places, victim), test.victim; got != want {
				t.Errorf("place that gives way: got %d, want %d", got, want)
			}
			if got, want := wait, test.wait; got != want {
				t.Errorf("wait: got %v, want %v", got, want)
			}
		})
	}
}

// client is a claim that counts how often it has to be interrupted.
type client struct {
	*evictor.Claim
	memory     *clients
	interrupts int
}

// clients is a memory with its clients.
type clients struct {
	evictor.Memory
	byClaim map[*evictor.Claim]*client
}

func newClients(limit int64) *clients {
	return &clients{Memory: evictor.Memory{Limit: limit}, byClaim: make(map[*evictor.Claim]*client)}
}

func newClient(m *clients, age time.Duration) *client {
	c := &client{Claim: evictor.NewClaim(start.Add(-age)), memory: m}
	m.byClaim[c.Claim] = c
	return c
}

// Grow adds bytes and counts the interrupts of the clients that give way.
func (c *client) Grow(bytes int64, now time.Time) bool {
	granted, _ := c.TryGrow(bytes, now)
	return granted
}

func (c *client) TryGrow(bytes int64, now time.Time) (bool, time.Duration) {
	granted, victims, wait := c.memory.Grow(c.Claim, bytes, now)
	for _, victim := range victims {
		c.memory.byClaim[victim].interrupts++
	}
	return granted, wait
}

func (c *client) check(t *testing.T, name string, interrupts int) {
	t.Helper()
	if got, want := c.interrupts, interrupts; got != want {
		t.Errorf("interrupts of %s: got %d, want %d", name, got, want)
	}
}

// TestMemoryOfCrowd guards against large requests that are refused because clients hold back the ends of others.
func TestMemoryOfCrowd(t *testing.T) {
	memory := newClients(100)
	old, large, complete := newClient(memory, 20*time.Second), newClient(memory, 5*time.Second), newClient(memory, time.Minute)
	for c, bytes := range map[*client]int64{old: 10, large: 50, complete: 40} {
		if got, want := c.Grow(bytes, start), true; got != want {
			t.Fatalf("memory of %d bytes: got %v, want %v", bytes, got, want)
		}
	}
	complete.Hold()
	fresh := newClient(memory, 0)
	if got, want := fresh.Grow(30, start), true; got != want {
		t.Errorf("new request: got %v, want %v", got, want)
	}
	old.check(t, "the small request", 0)
	large.check(t, "the large request", 1)
	complete.check(t, "the complete request", 0)
	if got, want := large.Hold(), false; got != want {
		t.Errorf("request that has given way is complete: got %v, want %v", got, want)
	}
	if got, want := large.Grow(1, start), false; got != want {
		t.Errorf("request that has given way grows: got %v, want %v", got, want)
	}
	for _, c := range []*client{old, large, complete, fresh} {
		memory.Release(c.Claim)
	}
	if got, want := memory.Used(), int64(0); got != want {
		t.Errorf("memory in use after the release: got %d, want %d", got, want)
	}
}

// TestMemoryOfBurst guards against requests that displace one another while all of them arrive, so that none completes, and
// against a client that displaces others although it has held more for longer.
func TestMemoryOfBurst(t *testing.T) {
	memory := newClients(100)
	young := newClient(memory, 500*time.Millisecond)
	young.Grow(90, start)
	fresh := newClient(memory, 0)
	if got, want := fresh.Grow(20, start), false; got != want {
		t.Errorf("request beside a burst: got %v, want %v", got, want)
	}
	young.check(t, "a young request", 0)
	heavy := newClient(memory, time.Minute)
	heavy.Grow(10, start)
	later := start.Add(time.Second)
	if got, want := heavy.Grow(60, later), false; got != want {
		t.Errorf("request that has held more for longer: got %v, want %v", got, want)
	}
	young.check(t, "a lighter request", 0)
}

// TestMemoryOfAnswers guards against answers that clients do not read and that keep out requests, and against memory of the
// request that is kept beside the answer.
func TestMemoryOfAnswers(t *testing.T) {
	memory := newClients(100)
	reader := newClient(memory, time.Minute)
	reader.Grow(80, start)
	reader.Hold()
	memory.Reply(reader.Claim, start)
	if got, want := reader.Grow(90, start), true; got != want {
		t.Fatalf("answer: got %v, want %v", got, want)
	}
	fresh := newClient(memory, 0)
	granted, wait := fresh.TryGrow(20, start)
	if got, want := granted, false; got != want {
		t.Errorf("request beside a new answer: got %v, want %v", got, want)
	}
	if got, want := wait, 100*time.Millisecond; got != want {
		t.Errorf("wait: got %v, want %v", got, want)
	}
	reader.Progress(start.Add(200 * time.Millisecond))
	if got, want := fresh.Grow(20, start.Add(250*time.Millisecond)), false; got != want {
		t.Errorf("request beside an answer that is read: got %v, want %v", got, want)
	}
	if got, want := fresh.Grow(20, start.Add(time.Second)), true; got != want {
		t.Errorf("request beside an answer that is not read: got %v, want %v", got, want)
	}
	reader.check(t, "the client that does not read", 1)
}
