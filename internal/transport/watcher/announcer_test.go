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
}

var errDown = errors.New("the registry does not answer")

func (l *leases) Register(context.Context, wigeonspindle.Peer, time.Duration) (uint64, error) {
	l.calls.Add(1)
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
			Registry: registry, Logger: log.New(io.Discard), Ready: func() bool { return true }, Down: known.Load,
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
		a := &watcher.Announcer{Registry: registry, Logger: log.New(io.Discard), Ready: func() bool { return true }}
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
