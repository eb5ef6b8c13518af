package watcher_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/follower"
	"wigeonspindle.example/wigeonspindle/internal/state/registrar"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/sharer"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
	"wigeonspindle.example/wigeonspindle/internal/transport/watcher"
)

// newRelay starts a host that passes on the content of an era, which names one replica, until the test ends or stop is
// called.
func newRelay(t *testing.T, number int, era uint64, replica string) (peer wigeonspindle.Peer, stop func()) {
	t.Helper()
	return runRelay(t, &registrar.Registrar{}, number, era, replica)
}

// runRelay starts a host that passes on content.
func runRelay(t *testing.T, content *registrar.Registrar, number int, era uint64, replica string) (peer wigeonspindle.Peer, stop func()) {
	t.Helper()
	list := wigeonspindle.RegistryBatch{Era: era, Updates: []wigeonspindle.RegistryUpdate{
		{Subject: wigeonspindle.SubjectReplica, Name: replica, Replica: &wigeonspindle.Replica{ID: replica, Pool: "p"}},
	}}
	content.Replace(list, time.Now())
	server := &sharer.Server{
		Address: simulator.ReservedAddress(), Registrar: content, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), Epoch: uint64(number),
	}
	if err := server.Run(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	refreshed := make(chan struct{})
	go func() {
		defer close(refreshed)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				content.Apply(wigeonspindle.RegistryBatch{Era: era}, time.Now()) // The registry answers it.
			}
		}
	}()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			close(done)
			<-refreshed
			server.Close()
		}
	}
	t.Cleanup(stop)
	return wigeonspindle.Peer{Name: replica, LinkAddress: server.Address}, stop
}

// TestRelayOfEarlierEra guards against a host that takes over the content of a relay which has not read the registry
// since it came back from a copy.
func TestRelayOfEarlierEra(t *testing.T) {
	for _, test := range []struct {
		name string
		era  uint64 // era is that of the second relay; the first has 3.
		want string
	}{
		{"earlier era", 2, "first"},
		{"same era", 3, "second"},
		{"later era", 4, "second"},
		{"era not known", 0, "second"},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, stop := newRelay(t, 1, 3, "first")
			second, _ := newRelay(t, 2, test.era, "second")
			known := &registrar.Registrar{}
			restored := make(chan struct{}, 16)
			w := &watcher.Watcher{
				Registrar: known, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), OnChange: func(*wigeonspindle.DeploymentState) {},
				OnRestored: func() { restored <- struct{}{} },
				Follower: &follower.Follower{SelectRelays: func([]wigeonspindle.Peer, wigeonspindle.Peer, int) ([]wigeonspindle.Peer, bool) {
					return []wigeonspindle.Peer{first, second}, false
				}},
			}
			w.Run()
			defer w.Close()
			replica := func() string {
				if replicas := known.State().Replicas["p"]; len(replicas) > 0 {
					return replicas[0].ID
				}
				return ""
			}
			waitUntil(t, "content of the first relay", func() bool { return replica() == "first" })
			stop()
			if test.want == "first" {
				time.Sleep(2 * time.Second) // Time to follow the second relay.
			} else {
				waitUntil(t, "content of the second relay", func() bool { return replica() == "second" })
			}
			if got := replica(); got != test.want {
				t.Errorf("content: got that of the %s relay, want that of the %s", got, test.want)
			}
			if got, want := len(restored) > 0, test.era == 4; got != want {
				t.Errorf("registry reported as restored: got %t, want %t", got, want)
			}
		})
	}
}

// emptyRegistry is a registry without entries.
type emptyRegistry struct {
	wigeonspindle.Registry
	lists atomic.Int32
}

func (e *emptyRegistry) List(context.Context) (wigeonspindle.RegistryBatch, error) {
	e.lists.Add(1)
	return wigeonspindle.RegistryBatch{Revision: 1}, nil
}

func (*emptyRegistry) Follow(_ context.Context, after uint64, _ time.Duration) (wigeonspindle.RegistryBatch, error) {
	return wigeonspindle.RegistryBatch{Revision: after}, nil
}

// TestRegistryAfterUnsettledRelay guards against dropping live replicas whose entries ended while the registry was
// unavailable, by a host that learned of the outage from a relay and then reads the registry itself.
func TestRegistryAfterUnsettledRelay(t *testing.T) {
	first, stop := newRelay(t, 1, 0, "live")
	unsettled := &registrar.Registrar{RecoveryGrace: time.Hour}
	second, _ := runRelay(t, unsettled, 2, 0, "live")
	second.Name = "unsettled"
	unsettled.MarkUnavailable()
	known, registry := &registrar.Registrar{RecoveryGrace: time.Hour}, &emptyRegistry{}
	w := &watcher.Watcher{
		Registry: registry, Registrar: known, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), OnChange: func(*wigeonspindle.DeploymentState) {},
		Follower: &follower.Follower{SelectRelays: func([]wigeonspindle.Peer, wigeonspindle.Peer, int) ([]wigeonspindle.Peer, bool) {
			return []wigeonspindle.Peer{first, second}, false
		}},
	}
	w.Run()
	defer w.Close()
	waitUntil(t, "state of the first relay", func() bool { return len(known.State().Replicas["p"]) == 1 })
	stop()
	waitUntil(t, "listing of the registry", func() bool { return registry.lists.Load() > 0 })
	time.Sleep(200 * time.Millisecond) // The listing is applied.
	if got, want := len(known.State().Replicas["p"]), 1; got != want {
		t.Errorf("replicas whose entries may return: got %d, want %d", got, want)
	}
}

// TestRegistryAfterLostRelays guards against a host that goes on trying relays after its own has lost the registry and the
// next one does not answer, although the registry answers the host; and against a host that takes this for an outage of the
// registry and goes on using replicas that have left.
func TestRegistryAfterLostRelays(t *testing.T) {
	for _, test := range []struct {
		name   string
		outage bool // outage reports that a call of the host to the registry fails meanwhile.
		kept   int  // kept is the number of replicas in use that the registry no longer lists.
	}{
		{"registry answers throughout", false, 0},
		{"registry was away", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testLostRelays(t, test.outage, test.kept)
		})
	}
}

func testLostRelays(t *testing.T, outage bool, kept int) {
	known, registry := &registrar.Registrar{RecoveryGrace: time.Hour}, &emptyRegistry{}
	w := &watcher.Watcher{
		Registry: registry, Registrar: known, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), OnChange: func(*wigeonspindle.DeploymentState) {},
	}
	w.RecordAnswer()
	lost := &registrar.Registrar{}
	lost.Replace(wigeonspindle.RegistryBatch{Updates: []wigeonspindle.RegistryUpdate{
		{Subject: wigeonspindle.SubjectReplica, Name: "live", Replica: &wigeonspindle.Replica{ID: "live", Pool: "p"}},
	}}, time.Now()) // Its last answer of the registry.
	server := &sharer.Server{Address: simulator.ReservedAddress(), Registrar: lost, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), Epoch: 1}
	if err := server.Run(); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	first := wigeonspindle.Peer{Name: "lost", LinkAddress: server.Address}
	silent, err := net.Listen("tcp", simulator.ReservedAddress()) // It accepts connections and answers nothing.
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	second := wigeonspindle.Peer{Name: "silent", LinkAddress: silent.Addr().String()}
	w.Follower = &follower.Follower{SelectRelays: func([]wigeonspindle.Peer, wigeonspindle.Peer, int) ([]wigeonspindle.Peer, bool) {
		return []wigeonspindle.Peer{first, second}, false
	}}
	var checks atomic.Int32
	w.OnCheck = func() {
		checks.Add(1)
		if outage {
			w.RecordFailure()
		}
		w.RecordAnswer()
	}
	w.Run()
	defer w.Close()
	waitUntil(t, "state of the first relay", func() bool { return len(known.State().Replicas["p"]) == 1 })
	if got, want := registry.lists.Load(), int32(0); got != want {
		t.Errorf("listings of the registry while the relay works: got %d, want %d", got, want)
	}
	waitUntil(t, "listing of the registry", func() bool { return registry.lists.Load() > 0 })
	if got, want := checks.Load(), int32(1); got != want {
		t.Errorf("checks whether the registry answers: got %d, want %d", got, want)
	}
	time.Sleep(200 * time.Millisecond) // The listing is applied.
	if got := len(known.State().Replicas["p"]); got != kept {
		t.Errorf("replicas in use that the registry no longer lists: got %d, want %d", got, kept)
	}
}

// waitUntil waits until a condition holds, at most for waitTimeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: got none within %v, want one", description, waitTimeout)
		}
	}
}
