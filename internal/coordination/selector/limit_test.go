package selector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// In any limitWindow a replica may get its request limit times limitFactor, plus limitSlack calls,
// from the hosts that know the limit. The values are requirements of the users.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limited is a successful response of a replica that states a request limit.
func limited(perSecond float64) wigeonspindle.Exchange {
	exchange := success(expected)
	exchange.Response.Limit = wigeonspindle.RequestLimit{Known: true, PerSecond: perSecond}
	return exchange
}

// TestRequestLimit guards against hosts that together exceed the request limit of a replica, and
// against hosts that use less than half of it.
func TestRequestLimit(t *testing.T) {
	const seconds, step = 40, 10 * time.Millisecond
	for _, test := range []struct {
		hosts   int
		standby int // standby is the number of further hosts to which callers are not directed.
		limit   float64
		pause   time.Duration // pause is the time without calls after each host has learned the limit.
		restart time.Duration // restart is the interval at which hosts leave or return.
		jumped  time.Duration // jumped is how far the clocks of a third of the hosts jump halfway through.
	}{
		{hosts: 1, limit: 3},
		{hosts: 3, limit: 50},
		{hosts: 15, limit: 8.8},
		{hosts: 15, limit: 1},
		{hosts: 15, limit: 0.5},
		{hosts: 12, limit: 22, pause: 5 * time.Second},
		{hosts: 15, limit: 1.2, pause: 9 * time.Second},
		{hosts: 60, limit: 6, pause: 5 * time.Second},
		{hosts: 107, limit: 2, pause: 5 * time.Second},
		{hosts: 40, standby: 86, limit: 4.4},
		{hosts: 6, standby: 20, limit: 30},
		{hosts: 15, limit: 2.5, restart: 1200 * time.Millisecond},
		{hosts: 15, limit: 1, restart: 1200 * time.Millisecond},
		{hosts: 30, limit: 8, restart: time.Second},
		{hosts: 15, limit: 8.8, jumped: 2400 * time.Millisecond},
		{hosts: 15, limit: 8.8, jumped: -2400 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d and %d hosts, %v a second, pause %v, restart %v, jump %v", test.hosts, test.standby, test.limit, test.pause, test.restart, test.jumped), func(t *testing.T) {
			deployment := newDeployment()
			deployment.Replicas["pool"] = deployment.Replicas["pool"][:1]
			hosts := newHosts(deployment, test.hosts, test.standby)
			all := *deployment
			var sent []time.Duration
			call := func(i int, after time.Duration) {
				now := at(after)
				if i%3 == 0 && after > seconds*time.Second/2 {
					now = now.Add(test.jumped)
				}
				if replica, ok := hosts[i].Pick(deployment, "pool", nil, expected, now); ok {
					hosts[i].RecordSend(replica, now)
					hosts[i].RecordResult(replica, now, expected, limited(test.limit), now.Add(time.Millisecond))
					sent = append(sent, after)
				}
			}
			for i := range hosts {
				call(i, 0)
			}
			sent = nil // The first call of each host is made before it knows the limit.
			away := 0  // The first hosts are away.
			for after := test.pause + time.Second; after < seconds*time.Second; after += step {
				if test.restart > 0 && after%test.restart == 0 {
					// Up to six hosts leave one after the other and then return.
					round := int(after/test.restart) % 12
					away = min(round, 12-round)
					changed := all
					changed.ServingPeers = slices.Clone(all.ServingPeers[away:])
					changed.Peers = changed.ServingPeers
					deployment = &changed
				}
				for i := range hosts[away:] {
					call(away+i, after)
				}
			}
			if got, want := mostWithin(sent, limitWindow), int(limitFactor*test.limit*limitWindow.Seconds())+limitSlack; got > want {
				t.Errorf("calls in the worst %v: got %d, want at most %d", limitWindow, got, want)
			}
			busy := (seconds*time.Second - test.pause - time.Second).Seconds()
			if got := float64(len(sent)) / busy; got > test.limit*1.1 || got < test.limit/2 {
				t.Errorf("calls a second: got %.2f, want about %v", got, test.limit)
			}
		})
	}
}

// TestRequestLimitEnds guards against a replica that is limited for ever, or never asked again because it
// takes nothing, and against calls that are refused although another replica takes them.
func TestRequestLimitEnds(t *testing.T) {
	deployment := newDeployment()
	deployment.ServingPeers = []wigeonspindle.Peer{{Name: ""}}
	s := newSelector()
	recordExchange(s, deployment, 0, limited(0), at(0))
	calls := make(map[string]int)
	send := func(after time.Duration, exchange wigeonspindle.Exchange) {
		replica, ok := s.Pick(deployment, "pool", nil, expected, at(after))
		if !ok {
			t.Fatalf("replica after %v: got none, want the one without a limit at least", after)
		}
		calls[replica.ID]++
		s.RecordSend(replica, at(after))
		if replica.ID == "two" {
			exchange = success(expected)
		}
		s.RecordResult(replica, at(after), expected, exchange, at(after))
	}
	for after := time.Second; after < 31*time.Second; after += 50 * time.Millisecond {
		send(after, limited(0))
	}
	if got := calls["one"]; got < 1 || got > 4 {
		t.Errorf("calls in 30 s to a replica that takes nothing: got %d, want a few that tell whether it still does", got)
	}
	for after := 31 * time.Second; after < 60*time.Second; after += 50 * time.Millisecond {
		send(after, success(expected))
	}
	if got, want := calls["one"], 100; got < want {
		t.Errorf("calls after the limit has ended: got %d, want at least %d", got, want)
	}
}

// TestDiscardedSend guards against a request limit that is used up by sends that were not made.
func TestDiscardedSend(t *testing.T) {
	deployment := newDeployment()
	deployment.Replicas["pool"] = deployment.Replicas["pool"][:1]
	deployment.ServingPeers = []wigeonspindle.Peer{{Name: ""}}
	s := newSelector()
	recordExchange(s, deployment, 0, limited(1), at(0))
	replica, ok := s.Pick(deployment, "pool", nil, expected, at(3*time.Second))
	if !ok {
		t.Fatal("replica after 3 s: got none, want the one that takes a call a second")
	}
	s.RecordSend(replica, at(3*time.Second))
	s.DiscardSend(replica.ID, at(3*time.Second))
	if _, ok := s.Pick(deployment, "pool", nil, expected, at(3*time.Second)); !ok {
		t.Error("replica after a send that was not made: got none, want it")
	}
}

// TestRisingLimit guards against calls that are measured by a lower limit but sent by a higher one.
func TestRisingLimit(t *testing.T) {
	deployment := newDeployment()
	deployment.Replicas["pool"] = deployment.Replicas["pool"][:1]
	deployment.ServingPeers = []wigeonspindle.Peer{{Name: ""}}
	s := newSelector()
	count := func(from, to time.Duration, limit float64) int {
		sent := 0
		for after := from; after < to; after += 10 * time.Millisecond {
			if replica, ok := s.Pick(deployment, "pool", nil, expected, at(after)); ok {
				s.RecordSend(replica, at(after))
				s.RecordResult(replica, at(after), expected, limited(limit), at(after))
				sent++
			}
		}
		return sent
	}
	count(0, limitWindow, 2)
	// The response to the next call states the higher limit.
	if got, want := count(limitWindow, 2*limitWindow, 20), int(limitFactor*2*limitWindow.Seconds())+limitSlack; got > want {
		t.Errorf("calls in %v after the limit rose: got %d, want at most %d", limitWindow, got, want)
	}
	if got, want := count(2*limitWindow+time.Second, 3*limitWindow+time.Second, 20), int(20*limitWindow.Seconds()/2); got < want {
		t.Errorf("calls in %v later: got %d, want at least %d", limitWindow, got, want)
	}
}
