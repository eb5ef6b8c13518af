package selector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/selector"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const expected = 10 * time.Millisecond

func at(after time.Duration) time.Time { return start.Add(after) }

// newDeployment returns a deployment with one pool of two replicas in the host's failure domain.
func newDeployment() *wigeonspindle.DeploymentState {
	return &wigeonspindle.DeploymentState{
		Catalog: &wigeonspindle.Catalog{Pools: map[string]wigeonspindle.Pool{"pool": {Name: "pool", WarmupRate: 6}}},
		Replicas: map[string][]*wigeonspindle.Replica{"pool": {
			{ID: "one", Pool: "pool", Domain: "a", Slots: 2}, {ID: "two", Pool: "pool", Domain: "a", Slots: 2},
		}},
		ServingPeers: make([]wigeonspindle.Peer, 3),
	}
}

func newSelector() *selector.Selector {
	return &selector.Selector{Domain: "a", Random: rand.New(rand.NewPCG(1, 2))}
}

// newHosts adds hosts to a deployment without hosts and returns their selectors, those to which callers are
// directed first.
func newHosts(deployment *wigeonspindle.DeploymentState, serving, standby int) []*selector.Selector {
	var hosts []*selector.Selector
	deployment.Peers, deployment.ServingPeers = nil, nil
	for i := range serving + standby {
		peer := wigeonspindle.Peer{Name: fmt.Sprintf("host-%d", i)}
		deployment.Peers = append(deployment.Peers, peer)
		if i < serving {
			deployment.ServingPeers = append(deployment.ServingPeers, peer)
		}
		hosts = append(hosts, &selector.Selector{Host: peer.Name, Domain: "a", Random: rand.New(rand.NewPCG(uint64(i), 2))})
	}
	return hosts
}

// mostWithin returns the largest number of times within a window. The times are in order.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// countPicks returns how often each replica is picked in 200 picks at the given time.
func countPicks(s *selector.Selector, deployment *wigeonspindle.DeploymentState, now time.Time) map[string]int {
	counts := make(map[string]int)
	for range 200 {
		if replica, ok := s.Pick(deployment, "pool", nil, expected, now); ok {
			counts[replica.ID]++
		}
	}
	return counts
}

func success(took time.Duration) wigeonspindle.Exchange {
	return wigeonspindle.Exchange{Verdict: wigeonspindle.Ran, Took: took, Response: &wigeonspindle.Response{Status: 200, Signature: "s"}}
}

// recordExchange records a send to a replica and its result.
func recordExchange(s *selector.Selector, deployment *wigeonspindle.DeploymentState, index int, exchange wigeonspindle.Exchange, now time.Time) {
	replica := deployment.Replicas["pool"][index]
	s.RecordSend(replica, now)
	s.RecordResult(replica, now, expected, exchange, now.Add(exchange.Took))
}

// TestAvoid guards against calls that go to a replica known to be slow, failing, loaded, cold,
// draining or in another failure domain.
func TestAvoid(t *testing.T) {
	for _, test := range []struct {
		name    string
		degrade func(s *selector.Selector, deployment *wigeonspindle.DeploymentState)
	}{
		{"slow", func(s *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			for i := range 3 {
				recordExchange(s, deployment, 0, success(8*expected), at(time.Duration(i)*time.Millisecond))
			}
		}},
		{"refusing", func(s *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			recordExchange(s, deployment, 0, wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Response: &wigeonspindle.Response{Status: 503, Refused: true}}, at(0))
		}},
		{"unreachable", func(s *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			recordExchange(s, deployment, 0, wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeUnreachable}, at(0))
		}},
		{"without an answer", func(s *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			s.RecordSend(deployment.Replicas["pool"][0], at(-5*expected))
		}},
		{"loaded", func(s *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			exchange := success(expected)
			exchange.Response.Load = wigeonspindle.TargetLoad{Known: true, Running: 2, Waiting: 4, Slots: 2}
			recordExchange(s, deployment, 0, exchange, at(0))
		}},
		{"draining", func(_ *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			deployment.Replicas["pool"][0].Draining = true
		}},
		{"cold", func(_ *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			deployment.Replicas["pool"][0].WarmAt = at(time.Minute)
		}},
		{"domain out", func(_ *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			deployment.Replicas["pool"][0].Domain = "b"
			deployment.OutDomains = map[string]bool{"b": true}
		}},
		{"other domain", func(_ *selector.Selector, deployment *wigeonspindle.DeploymentState) {
			deployment.Replicas["pool"][0].Domain = "b"
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, deployment := newSelector(), newDeployment()
			test.degrade(s, deployment)
			counts := countPicks(s, deployment, at(20*time.Millisecond))
			if got, most := counts["one"], 40; got > most {
				t.Errorf("picks of the worse replica: got %d of 200, want at most %d", got, most)
			}
			if counts["two"] == 0 {
				t.Error("picks of the better replica: got none")
			}
		})
	}
}

// TestRecover guards against a replica that is avoided forever after it was slow.
func TestRecover(t *testing.T) {
	s, deployment := newSelector(), newDeployment()
	for i := range 5 {
		recordExchange(s, deployment, 0, success(8*expected), at(time.Duration(i)*time.Millisecond))
	}
	if got := countPicks(s, deployment, at(15*time.Second))["one"]; got < 50 {
		t.Errorf("picks 15 s after the replica was slow: got %d of 200, want at least 50", got)
	}
}

// TestSilent guards against three failures: calls keep going to a silent replica, a silent
// replica is not probed on new connections, and a replica stays excluded after it has answered.
func TestSilent(t *testing.T) {
	s, deployment := newSelector(), newDeployment()
	deployment.OutDomains = map[string]bool{"b": true}
	deployment.Replicas["pool"][1].Domain = "b"
	replica := deployment.Replicas["pool"][0]
	if s.RecordSend(replica, at(0)) {
		t.Error("first send: got a probe, want none")
	}
	if !s.HasUsableReplica(deployment, "pool", expected, at(100*time.Millisecond)) {
		t.Error("replica without an answer for 100 ms: got unusable, want usable")
	}
	// From 600 ms on the replica counts as silent. Calls arrive every 10 ms.
	var probes []time.Duration
	for after := 600 * time.Millisecond; after < 8*time.Second; after += 10 * time.Millisecond {
		if _, ok := s.Pick(deployment, "pool", nil, expected, at(after)); !ok {
			continue
		}
		if !s.RecordSend(replica, at(after)) {
			t.Errorf("send to a silent replica after %v: got no probe, want one", after)
		}
		probes = append(probes, after)
	}
	want := []time.Duration{600, 800, 1200, 2000, 3600, 5600, 7600}
	for i := range want {
		want[i] *= time.Millisecond
	}
	if !slices.Equal(probes, want) {
		t.Errorf("probes: got them after %v, want %v", probes, want)
	}
	s.RecordResult(replica, at(7600*time.Millisecond), expected, success(expected), at(8*time.Second))
	for range 3 {
		if !s.HasUsableReplica(deployment, "pool", expected, at(8*time.Second)) || s.RecordSend(replica, at(8*time.Second)) {
			t.Error("replica that answered: got unusable or probed, want usable")
		}
	}
}

// TestRetain guards against statistics of removed replicas that are never freed.
func TestRetain(t *testing.T) {
	s, deployment := newSelector(), newDeployment()
	recordExchange(s, deployment, 0, wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeUnreachable}, at(0))
	s.Retain(nil, at(0))
	if got := countPicks(s, deployment, at(time.Millisecond))["one"]; got == 0 {
		t.Error("picks of a replica that was removed and came back: got none, want some")
	}
	for i := range 3 { // A replica with a send in flight is retained.
		s.RecordSend(&wigeonspindle.Replica{ID: fmt.Sprint(i), Pool: "pool"}, at(0))
	}
	s.Retain(nil, at(0))
	s.DiscardSend("0", at(0))
}

// TestWrongReplica guards against calls to an address that another replica has taken over. Each
// such call costs a retry, and together they used up the retry budget of a pool.
func TestWrongReplica(t *testing.T) {
	s, deployment := newSelector(), newDeployment()
	refused := wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Sent: true, Response: &wigeonspindle.Response{Status: 421, Refused: true, WrongReplica: true}}
	recordExchange(s, deployment, 0, refused, at(0))
	for _, after := range []time.Duration{time.Millisecond, time.Second, 4 * time.Second} {
		if _, ok := s.Pick(deployment, "pool", []string{"two"}, expected, at(after)); ok {
			t.Errorf("pick of the replaced replica as the last one after %v: got it, want none", after)
		}
	}
	next := *deployment.Replicas["pool"][0]
	next.StartUnixMs++
	deployment.Replicas["pool"][0] = &next
	if got := countPicks(s, deployment, at(4*time.Second))["one"]; got == 0 {
		t.Error("picks of a new run under the same ID: got none, want some")
	}
}
