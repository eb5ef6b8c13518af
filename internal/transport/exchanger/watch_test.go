package exchanger_test

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
)

// schedule makes the harness run what the pool schedules.
func (h *harness) schedule(t *testing.T) chan func() {
	t.Helper()
	due := make(chan func(), 64)
	h.pool.Schedule = func(at time.Time, run func()) {
		timer := time.AfterFunc(time.Until(at), func() { due <- run })
		t.Cleanup(func() { timer.Stop() })
	}
	return due
}

// runFor processes events and what the pool schedules for a time, or until condition holds.
func (h *harness) runFor(period time.Duration, due <-chan func(), condition func() bool) {
	timeout := time.After(period)
	for !condition() {
		select {
		case event := <-h.events.C():
			h.pool.HandleEvent(event)
		case run := <-due:
			run()
		case <-timeout:
			return
		}
	}
}

// TestWatch guards against a replica that accepts a connection after a send has failed, ends a moment later, and
// is not noticed to have ended.
func TestWatch(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := newTarget(t, func(path string) (string, bool) { return answer(path, ""), true })
	h := newHarness(t, s.listener.Addr().String())
	due := h.schedule(t)
	h.pool.CloseAfterUse = true // A host that keeps no other connections has to keep this one.
	h.send("one", 1)
	h.wait(t, "one")
	h.pool.Watch(h.replica, time.Now().Add(waitTimeout))
	h.runFor(waitTimeout, due, func() bool { return len(h.dialled) > 1 })
	h.runFor(200*time.Millisecond, due, func() bool { return false })
	h.pool.RetainReplicas(map[string]bool{"r": true})
	if got, want := h.pool.Size(), 1; got != want {
		t.Errorf("connections to a watched replica: got %d, want %d", got, want)
	}
	h.dialled = nil
	s.crash()
	h.runFor(waitTimeout, due, func() bool { return len(h.dialled) > 0 })
	if len(h.dialled) == 0 || h.dialled[0] {
		t.Errorf("dials after the replica has ended: got %v, want a refused one", h.dialled)
	}
}

// TestWatchClosing guards against a host that dials a replica without pause because the replica closes each
// connection that it accepts.
func TestWatchClosing(t *testing.T) {
	s := newTarget(t, func(path string) (string, bool) { return answer(path, ""), false })
	h := newHarness(t, s.listener.Addr().String())
	due := h.schedule(t)
	h.send("one", 1)
	h.wait(t, "one")
	h.pool.Watch(h.replica, time.Now().Add(time.Second))
	end := time.After(2 * time.Second)
	for running := true; running; {
		select {
		case event := <-h.events.C():
			h.pool.HandleEvent(event)
			s.closeConnections()
		case run := <-due:
			run()
		case <-end:
			running = false
		}
		if h.pool.Size() == 1 {
			s.closeConnections()
		}
	}
	// 1 s has room for pauses of 0.1, 0.2 and 0.4 s.
	if got, most := len(h.dialled), 7; got > most {
		t.Errorf("dials of a replica that closes its connections: got %d, want at most %d", got, most)
	}
	if got := h.dialled[len(h.dialled)-1]; !got {
		t.Error("last dial: got refused, want accepted")
	}
	if got, want := h.results["one"].Verdict, wigeonspindle.Ran; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
}
