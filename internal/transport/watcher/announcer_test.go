package watcher_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/watcher"
)

// leases is a fake registry that grants and renews leases, or fails.
type leases struct {
	wigeonspindle.Registry
	down    atomic.Bool
	lapsed  atomic.Bool // lapsed reports that the granted leases have ended.
	calls   atomic.Int32
	entries atomic.Int32 // entries counts the registrations.
	ttl     atomic.Int64 // ttl is that of the last lease.
}

var errDown = errors.New("the registry does not answer")

func (l *leases) Register(_ context.Context, _ wigeonspindle.Peer, ttl time.Duration) (uint64, error) {
	l.calls.Add(1)
	l.ttl.Store(int64(ttl))
	if l.down.Load() {
		return 0, errDown
	}
	l.lapsed.Store(false)
	l.entries.Add(1)
	return 1, nil
}

func (l *leases) RenewLease(context.Context, uint64) error {
	l.calls.Add(1)
	switch {
	case l.down.Load():
		return errDown
	case l.lapsed.Load():
		return wigeonspindle.ErrLeaseExpired
	}
	return nil
}

func (*leases) RevokeLease(context.Context, uint64) error { return nil }

// TestAnnouncerOutage guards against a host that asks a registry again and again that is known to be down, and
// that registers late when it answers again.
func TestAnnouncerOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &leases{}
		var known atomic.Bool
		a := &watcher.Announcer{
			Registry: registry, Logger: log.New(io.Discard), Ready: func() bool { return true }, Down: known.Load, Serving: func() bool { return false },
		}
		a.Run()
		defer a.Close()
		time.Sleep(5 * time.Second)
		registry.down.Store(true)
		registry.lapsed.Store(true)
		before := registry.calls.Load()
		time.Sleep(2 * time.Second)
		known.Store(true)
		time.Sleep(6 * time.Second)
		if got, most := registry.calls.Load()-before, int32(5); got > most {
			t.Errorf("calls in an outage of 8 s: got %d, want at most %d", got, most)
		}
		registry.down.Store(false)
		known.Store(false)
		a.Wake()
		time.Sleep(500 * time.Millisecond)
		if got, want := registry.entries.Load(), int32(2); got != want {
			t.Errorf("registrations 0.5 s after the outage: got %d, want %d", got, want)
		}
	})
}

// TestAnnouncerTurnedAway guards against a host that registers late after the registry has turned away only
// this host, so that nothing wakes it.
func TestAnnouncerTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &leases{}
		a := &watcher.Announcer{Registry: registry, Logger: log.New(io.Discard), Ready: func() bool { return true }, Serving: func() bool { return false }}
		a.Run()
		defer a.Close()
		time.Sleep(5 * time.Second)
		registry.down.Store(true)
		registry.lapsed.Store(true)
		time.Sleep(9 * time.Second)
		registry.down.Store(false)
		time.Sleep(2600 * time.Millisecond)
		if got, want := registry.entries.Load(), int32(2); got != want {
			t.Errorf("registrations 2.6 s later: got %d, want %d", got, want)
		}
	})
}

// TestAnnouncerServing guards against callers that are directed to a crashed host for as long as its lease lasts,
// and against a lease that a few lost responses end.
func TestAnnouncerServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &leases{}
		var serving atomic.Bool
		a := &watcher.Announcer{
			Registry: registry, Logger: log.New(io.Discard), Ready: func() bool { return true }, Serving: serving.Load,
		}
		a.Run()
		defer a.Close()
		time.Sleep(time.Second)
		standby := time.Duration(registry.ttl.Load())
		serving.Store(true)
		time.Sleep(2 * time.Second)
		short := time.Duration(registry.ttl.Load())
		if got, want := registry.entries.Load(), int32(2); got != want || short >= standby {
			t.Errorf("leases: got %d, the last one for %v after %v, want %d and a shorter one", got, short, standby, want)
		}
		before := registry.calls.Load()
		registry.down.Store(true)
		time.Sleep(short - 800*time.Millisecond)
		if got, least := registry.calls.Load()-before, int32(2); got < least {
			t.Errorf("renewals tried before the lease ends: got %d, want at least %d", got, least)
		}
	})
}

// TestAnnouncerCheck guards against a host that finds out late whether the registry answers it, and against calls in an
// outage that are made only to find out.
func TestAnnouncerCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &leases{}
		var answers atomic.Int32
		a := &watcher.Announcer{
			Registry: registry, Logger: log.New(io.Discard), Ready: func() bool { return true }, Serving: func() bool { return false },
			OnAnswer: func() { answers.Add(1) },
		}
		a.Run()
		defer a.Close()
		time.Sleep(100 * time.Millisecond)
		calls, before := registry.calls.Load(), answers.Load()
		a.Check()
		time.Sleep(10 * time.Millisecond)
		if got, want := answers.Load()-before, int32(1); got != want {
			t.Errorf("answers after a check: got %d, want %d", got, want)
		}
		time.Sleep(time.Second)
		if got, want := registry.calls.Load()-calls, int32(1); got != want {
			t.Errorf("calls in the second after a check: got %d, want %d, the renewal that was due", got, want)
		}
		registry.down.Store(true)
		before = answers.Load()
		a.Check()
		time.Sleep(10 * time.Millisecond)
		if got, want := answers.Load()-before, int32(0); got != want {
			t.Errorf("answers of a registry that is down: got %d, want %d", got, want)
		}
	})
}
