package watcher_test

import (
	"io"
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
	content := &registrar.Registrar{}
	list := wigeonspindle.RegistryBatch{Era: era, Updates: []wigeonspindle.RegistryUpdate{
		{Subject: wigeonspindle.SubjectReplica, Name: replica, Replica: &wigeonspindle.Replica{ID: replica, Pool: "p"}},
	}}
	content.Replace(list, time.Now())
	server := &sharer.Server{
		Address: simulator.LoopbackIP(number) + ":7199", Registrar: content, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), Epoch: uint64(number),
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
			waitFor := func(want string, period time.Duration) {
				for end := time.Now().Add(period); replica() != want && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				}
			}
			waitFor("first", waitTimeout)
			stop()
			if test.want == "first" {
				waitFor("second", 2*time.Second)
			} else {
				waitFor("second", waitTimeout)
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
