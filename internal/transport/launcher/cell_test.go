package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/lister"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
	"wigeonspindle.example/wigeonspindle/internal/transport/storer"
)

// faultHandler forwards requests to a service, or simulates its outage: requests fail or hang.
type faultHandler struct {
	http.Handler
	failing atomic.Bool
	hanging atomic.Bool
	calls   atomic.Int64
	runs    *atomic.Int64 // runs, when set, counts the requests to run an attempt.
}

func (h *faultHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.calls.Add(1)
	if h.runs != nil && r.URL.Path == "/run" {
		h.runs.Add(1)
	}
	switch {
	case h.failing.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case h.hanging.Load():
		<-r.Context().Done()
	default:
		h.Handler.ServeHTTP(w, r)
	}
}

// testCell is a cell of hosts in one process with simulated platform services and targets.
type testCell struct {
	store, list             *faultHandler
	storeServer, listServer *httptest.Server
	hostList                *simulator.HostList
	hosts                   []*launcher.Host
	listings                []wigeonspindle.ListedHost
	index                   wigeonspindle.Index
	simulated               []*simulator.Target
	runs                    map[string]*atomic.Int64 // runs counts the requests to run an attempt by the target's domain.
}

// newTestCell starts hosts in the domains a, b and c in turn over one index of two shards
// with a replica in each domain.
func newTestCell(t testing.TB, hosts int, service time.Duration) *testCell {
	t.Helper()
	// A new owner starts at the floor. A high floor keeps slow start out of most tests.
	return startCell(t, hosts, service, 1000, false)
}

// startCell is like newTestCell for targets with the given floor. With cold set they start cold
// and then bear only the load of the floor.
func startCell(t testing.TB, hosts int, service time.Duration, floor float64, cold bool) *testCell {
	t.Helper()
	c := &testCell{store: &faultHandler{Handler: &simulator.Store{}}, hostList: &simulator.HostList{}, runs: make(map[string]*atomic.Int64)}
	c.list = &faultHandler{Handler: c.hostList}
	c.index = wigeonspindle.Index{Name: "lookup", Preference: wigeonspindle.PreferCoverage, Snapshots: []wigeonspindle.Snapshot{{Version: "v1", Shards: []string{"s0", "s1"}}}}
	for _, domain := range []string{"a", "b", "c"} {
		c.runs[domain] = &atomic.Int64{}
		for _, shard := range c.index.Snapshots[0].Shards {
			target := &simulator.Target{Slots: 2, Snapshots: []string{"v1"}, ServiceTime: service, Floor: floor, StartCold: cold}
			c.simulated = append(c.simulated, target)
			server := httptest.NewServer(&faultHandler{Handler: target, runs: c.runs[domain]})
			t.Cleanup(server.Close)
			c.index.Targets = append(c.index.Targets, wigeonspindle.Target{
				Name: shard + domain, Address: serverAddress(server), Domain: domain, Shards: []string{shard}, Slots: 2, Connections: 50, Floor: floor,
			})
		}
	}
	c.storeServer, c.listServer = httptest.NewServer(c.store), httptest.NewServer(c.list)
	t.Cleanup(c.storeServer.Close)
	t.Cleanup(c.listServer.Close)
	seedConfig(t, &storer.Storer{Address: serverAddress(c.storeServer)}, c.config())
	for range hosts {
		c.addHost()
	}
	for _, host := range c.hosts {
		if err := host.Run(); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { c.close(c.hosts...) })
	c.awaitAll(t, 15*time.Second, "all hosts live and configured", func(host *launcher.Host) bool {
		status := host.Status()
		live := 0
		for _, member := range status.Members {
			if member.Condition == wigeonspindle.ConditionLive {
				live++
			}
		}
		return live == hosts && status.Revision == 1
	})
	c.awaitAll(t, 15*time.Second, "every target owned", func(*launcher.Host) bool {
		owned := 0
		for _, host := range c.hosts {
			owned += len(host.Status().Targets)
		}
		return owned == len(c.index.Targets)
	})
	return c
}

func (c *testCell) config() wigeonspindle.Config {
	return wigeonspindle.Config{Domains: []wigeonspindle.Domain{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Indexes: []wigeonspindle.Index{c.index}}
}

// addHost adds a host to the cell and the host list without starting it.
func (c *testCell) addHost() *launcher.Host {
	i := len(c.hosts)
	settings := parser.Settings{
		Name: fmt.Sprintf("host-%02d", i), Domain: string(rune('a' + i%3)), Cell: "main", CallerAddress: simulator.ReservedAddress(), LinkAddress: simulator.ReservedAddress(), Workers: 1,
	}
	host := &launcher.Host{
		Settings: settings, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), Sender: &sender.Sender{Clock: timekeeper.SystemClock{}},
		Store: &storer.Storer{Address: serverAddress(c.storeServer)}, Lister: &lister.Lister{Address: serverAddress(c.listServer)},
	}
	c.hosts = append(c.hosts, host)
	c.listings = append(c.listings, wigeonspindle.ListedHost{Name: settings.Name, LinkAddress: settings.LinkAddress})
	c.hostList.Set(c.listings)
	return host
}

func (c *testCell) close(hosts ...*launcher.Host) {
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range hosts {
		_ = host.Close(stopped)
		_ = host.Sender.(*sender.Sender).Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// awaitAll waits until every host meets a condition and returns how long that took.
func (c *testCell) awaitAll(t testing.TB, limit time.Duration, description string, condition func(*launcher.Host) bool) time.Duration {
	t.Helper()
	started := time.Now()
	for _, host := range c.hosts {
		for !condition(host) {
			if time.Since(started) > limit {
				t.Fatalf("%s: got a timeout on %s after %s, want the condition met; status: %+v", description, host.Settings.Name, limit, host.Status())
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(started)
}
