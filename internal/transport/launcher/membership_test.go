package launcher_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
)

func (c *testCell) propose(t testing.TB, host *launcher.Host, expected wigeonspindle.Revision) (wigeonspindle.HistoryEntry, error) {
	t.Helper()
	config := c.config()
	config.Rules = validator.DefaultRules()
	config.Rules.Soft = 0.5 + float64(expected%100)/1000
	return host.Propose(t.Context(), wigeonspindle.ConfigChange{ExpectedRevision: expected, Author: "op", Config: config}, false)
}

// TestSpread guards against configuration changes that do not reach every host within seconds
// and against store load that grows with the number of hosts instead of the number of domains.
func TestSpread(t *testing.T) {
	c := newTestCell(t, 15, time.Millisecond)
	time.Sleep(2 * time.Second) // The hosts elect their watchers.
	calls := c.store.calls.Load()
	var took []time.Duration
	started := time.Now()
	for i := range 20 {
		entry, err := c.propose(t, c.hosts[i%len(c.hosts)], wigeonspindle.Revision(i+1))
		if err != nil {
			t.Fatal(err)
		}
		took = append(took, c.awaitAll(t, 5*time.Second, "the change is in force", func(h *launcher.Host) bool {
			return h.Status().Revision >= entry.Revision
		}))
	}
	elapsed := time.Since(started)
	slices.Sort(took)
	perChange := float64(c.store.calls.Load()-calls) / 20
	t.Logf("15 hosts: propagation p50 %s, max %s; store calls per change %.1f", took[10], took[19], perChange)
	if got, want := took[19], 3*time.Second; got > want {
		t.Errorf("propagation: got %s, want at most %s", got, want)
	}
	// The writer makes at most 8 calls, and each of 6 watchers starts a new watch.
	if want := 8.0 + 6; perChange > want {
		t.Errorf("store calls per change: got %.1f, want at most %.0f", perChange, want)
	}
	idle := c.store.calls.Load()
	time.Sleep(2 * time.Second)
	t.Logf("store calls while idle: %d in 2 s; elapsed %s", c.store.calls.Load()-idle, elapsed)
	if got := c.store.calls.Load() - idle; got > 6 {
		t.Errorf("idle store calls in 2 s: got %d, want at most one for each of 6 watchers", got)
	}
}

// TestConcurrentProposals guards against a lost change when two operators propose changes
// through two hosts at the same time.
func TestConcurrentProposals(t *testing.T) {
	c := newTestCell(t, 3, time.Millisecond)
	for round := range 5 {
		expected := c.hosts[0].Status().Revision
		var wait sync.WaitGroup
		results := make([]error, 2)
		for i := range results {
			wait.Add(1)
			go func() {
				defer wait.Done()
				_, results[i] = c.propose(t, c.hosts[i], expected)
			}()
		}
		wait.Wait()
		var refusal *wigeonspindle.Refusal
		failed := errors.Join(results...)
		if (results[0] == nil) == (results[1] == nil) || !errors.As(failed, &refusal) || refusal.Code != wigeonspindle.CodeConflict {
			t.Fatalf("round %d: got %v, want one success and one conflict", round, results)
		}
		c.awaitAll(t, 5*time.Second, "the change is in force", func(h *launcher.Host) bool { return h.Status().Revision > expected })
	}
}

// TestOutage guards against three failures in a store outage: a starting host gets no
// configuration, an operator cannot take a domain out of service, or that change is lost when
// the store is back.
func TestOutage(t *testing.T) {
	c := newTestCell(t, 6, time.Millisecond)
	c.store.failing.Store(true)
	c.storeServer.CloseClientConnections() // Breaks the open watches.
	lateHost := c.addHost()
	if err := lateHost.Run(); err != nil {
		t.Fatal(err)
	}
	took := c.awaitAll(t, 5*time.Second, "the new host has the configuration", func(h *launcher.Host) bool { return h.Status().Revision == 1 })
	t.Logf("a host started during the outage had the configuration after %s", took)
	started := time.Now()
	overrideOnly, err := c.hosts[1].SetDomain(t.Context(), "b", true, "op")
	if err != nil || !overrideOnly {
		t.Fatalf("got override only %t, error %v, want an override only", overrideOnly, err)
	}
	domainOut := func(h *launcher.Host) bool { return h.Placement().OutDomains["b"] }
	c.awaitAll(t, 3*time.Second-time.Since(started), "the domain is out", domainOut)
	t.Logf("override in force everywhere %s after the request", time.Since(started))
	if got := c.hosts[0].Addresses("b").Addresses; slices.ContainsFunc(got, func(a wigeonspindle.Address) bool { return a.Domain == "b" }) {
		t.Errorf("addresses: got %v, want none in domain b", got)
	}
	calls, window := c.store.calls.Load(), 4*time.Second
	time.Sleep(window)
	calls = c.store.calls.Load() - calls
	t.Logf("store calls during the outage: %d in %s", calls, window)
	// Each of 6 watchers makes about 5 calls with growing back-off and tries to write the
	// override every 2 s.
	if want := int64(6*5 + 6*3); calls > want {
		t.Errorf("store calls during the outage: got %d in %s, want at most %d", calls, window, want)
	}
	c.store.failing.Store(false)
	took = c.awaitAll(t, 20*time.Second, "the override is in the configuration", func(h *launcher.Host) bool {
		status := h.Status()
		return status.Revision == 2 && len(status.Overrides) == 0 && domainOut(h)
	})
	t.Logf("override written and in force everywhere %s after the store was back", took)
	history, err := c.hosts[0].History(t.Context())
	if err != nil || len(history) != 2 || history[0].Author != "op" {
		t.Errorf("history: got %v, error %v, want the override by op as the latest of 2", history, err)
	}
}

// TestDomainOut guards against new work for a domain more than 3 s after an operator took it
// out of service, and against incomplete answers while it is out.
func TestDomainOut(t *testing.T) {
	c := newTestCell(t, 3, time.Millisecond)
	queryUntilCovered(t, c.hosts[0].Settings.CallerAddress, 2)
	started := time.Now()
	overrideOnly, err := c.hosts[2].SetDomain(t.Context(), "a", true, "op")
	if err != nil || overrideOnly {
		t.Fatalf("got override only %t, error %v, want a change in the store", overrideOnly, err)
	}
	c.awaitAll(t, 3*time.Second, "the domain is out", func(h *launcher.Host) bool { return h.Placement().OutDomains["a"] })
	t.Logf("domain out everywhere %s after the request", time.Since(started))
	before := c.runs["a"].Load()
	outEverywhere := time.Now()
	for time.Since(started) < 4*time.Second {
		if answer := queryUntilCovered(t, c.hosts[1].Settings.CallerAddress, 2); answer.Coverage.Answered != 2 {
			t.Fatalf("coverage: got %+v, want 2 of 2", answer.Coverage)
		}
		time.Sleep(10 * time.Millisecond)
	}
	// If a query loop still chose targets of the domain, their owners would refuse the attempts.
	for _, event := range c.hosts[1].Events(wigeonspindle.EventFilter{Since: outEverywhere}) {
		if event.Kind == wigeonspindle.EventRetried && event.Detail == string(wigeonspindle.CodeLeaving) {
			t.Errorf("got a retry of shard %s because its target is leaving, want none", event.Shard)
		}
	}
	if got := c.runs["a"].Load() - before; got != 0 {
		t.Errorf("got %d requests to targets in domain a, want none", got)
	}
	// Query loops reconfigure their picker for each new placement.
	placement := c.hosts[1].Placement()
	time.Sleep(300 * time.Millisecond)
	if placement != c.hosts[1].Placement() {
		t.Error("got a new placement without a change, want the same")
	}
	if answer := c.hosts[1].Addresses("a"); len(answer.Addresses) != 2 {
		t.Errorf("addresses: got %v, want the 2 hosts outside domain a", answer.Addresses)
	}
}

// TestCloseContext guards against a stop that waits for a hanging store or host list beyond
// its context.
func TestCloseContext(t *testing.T) {
	c := newTestCell(t, 3, time.Millisecond)
	c.store.hanging.Store(true)
	c.list.hanging.Store(true)
	time.Sleep(1500 * time.Millisecond) // Calls to both now hang.
	for i, host := range c.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		host.Drain() // Close also ends a stop started by Drain.
		started := time.Now()
		_ = host.Close(ctx)
		cancel()
		if took := time.Since(started); took > time.Second {
			t.Errorf("host %d: got %s, want the stop to end with its context", i, took)
		}
	}
}

// TestDrain guards against requests interrupted by a planned stop, and against callers with an
// outdated address list that get no current one.
func TestDrain(t *testing.T) {
	c := newTestCell(t, 3, 300*time.Millisecond)
	leaving := c.hosts[0]
	queryUntilCovered(t, leaving.Settings.CallerAddress, 2)
	leaving.Drain()
	started := time.Now()
	var unlisted time.Duration
	served, refused := 0, 0
	for {
		answer, err := postQuery(leaving.Settings.CallerAddress)
		if errors.Is(err, syscall.ECONNREFUSED) {
			break // The listener is closed.
		}
		if err != nil {
			t.Fatalf("%s after the stop began: got error %v, want an answer, a refusal or no connection", time.Since(started), err)
		}
		switch {
		case answer.Refusal == nil && answer.Coverage.Answered == 2:
			served++
		case answer.Refusal != nil && answer.Verdict == wigeonspindle.NotRun && len(answer.Refusal.Addresses) == 2:
			refused++
		default:
			t.Errorf("%s after the stop began: got %+v, want an answer or a refusal with the list", time.Since(started), answer)
		}
		if unlisted == 0 && len(c.hosts[1].Addresses("a").Addresses) == 2 {
			unlisted = time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
	openFor := time.Since(started)
	<-leaving.Done()
	t.Logf("unlisted after %s, listener open for %s, served %d, refused %d", unlisted, openFor, served, refused)
	if unlisted == 0 || unlisted > 3*time.Second {
		t.Errorf("unlisted: got %s, want at most 3s", unlisted)
	}
	if openFor < wigeonspindle.DrainDelay || served == 0 || refused == 0 {
		t.Errorf("got listener open for %s, %d served, %d refused, want %s and some of each", openFor, served, refused, wigeonspindle.DrainDelay)
	}
	if got := fmt.Sprint(c.hosts[1].Status().Ready); got != "true" {
		t.Errorf("ready: got %s, want the others ready", got)
	}
}
