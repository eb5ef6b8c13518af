package follower_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/balancer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/follower"
)

var start = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

var errUnreachable = errors.New("unreachable")

// newPeers returns hosts spread over failure domains, one strong host in each.
func newPeers(count, domains int) []wigeonspindle.Peer {
	peers := make([]wigeonspindle.Peer, count)
	for i := range peers {
		peers[i] = wigeonspindle.Peer{Name: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("d%d", i%domains), Capacity: 0.2}
		if i < domains {
			peers[i].Capacity = 0.8
		}
	}
	return peers
}

// fleet plays hosts that read the state of the registry from it or from one another.
type fleet struct {
	peers     []wigeonspindle.Peer
	followers []*follower.Follower
	next      []time.Time
	seen      []time.Time
	// refused reports whether the registry turns away a host at a time, and unreachable whether a host cannot
	// be reached by others.
	refused     func(host int, now time.Time) bool
	unreachable func(host int, now time.Time) bool
	// apart reports whether two hosts cannot reach each other.
	apart func(host, relay int, now time.Time) bool
	// unsettled reports whether a host has no state for those that have not followed it before.
	unsettled func(host int, now time.Time) bool
	current   []string // current is the relay that each host has read from last.
	calls     int      // calls counts the calls to the registry.
}

func newFleet(count, domains int) *fleet {
	f := &fleet{peers: newPeers(count, domains), next: make([]time.Time, count), seen: make([]time.Time, count), current: make([]string, count)}
	for i, peer := range f.peers {
		f.followers = append(f.followers, &follower.Follower{Self: peer, SelectRelays: balancer.RegistryRelays})
		f.seen[i] = start
		f.next[i] = start.Add(time.Duration(i) * time.Millisecond)
	}
	f.refused = func(int, time.Time) bool { return false }
	f.unreachable, f.unsettled = f.refused, f.refused
	f.apart = func(int, int, time.Time) bool { return false }
	return f
}

// relayInterval is the pause between two reads from a relay.
const relayInterval = 50 * time.Millisecond

// playStep is the step in which a fleet is played.
const playStep = 10 * time.Millisecond

// play plays the fleet for a period.
func (f *fleet) play(from, to time.Duration) {
	for now := start.Add(from); now.Before(start.Add(to)); now = now.Add(playStep) {
		for i := range f.followers {
			if !now.Before(f.next[i]) {
				f.next[i] = now.Add(f.step(i, now))
			}
		}
	}
}

// step makes one read of a host and returns the time until its next one.
func (f *fleet) step(host int, now time.Time) time.Duration {
	source := f.followers[host].Choose(f.peers, f.seen[host], now)
	if source.Check && !f.refused(host, now) {
		f.followers[host].RecordAnswer(now)
	}
	if source.Wait > 0 {
		return source.Wait
	}
	if source.Relay == nil {
		f.calls++
		if f.refused(host, now) {
			f.followers[host].RecordFailure(source, errUnreachable, now)
			return time.Second
		}
		f.followers[host].RecordRead(source, now)
		f.seen[host] = now
		return follower.PollInterval + follower.RegistryWait
	}
	var relay int
	_, _ = fmt.Sscanf(source.Relay.Name, "h%d", &relay) // All names have this form.
	var err error
	switch {
	case f.unreachable(relay, now) || f.apart(host, relay, now):
		f.followers[host].RecordFailure(source, errUnreachable, now.Add(source.Timeout))
		return source.Timeout
	case now.Sub(f.seen[relay]) >= follower.MaxAge:
		err = wigeonspindle.ErrStale
	case f.unsettled(relay, now) && f.current[host] != source.Relay.Name:
		err = wigeonspindle.ErrUnsettled
	}
	if err != nil {
		f.followers[host].RecordFailure(source, err, now)
		return playStep
	}
	f.followers[host].RecordRead(source, now)
	f.current[host] = source.Relay.Name
	f.seen[host] = f.seen[relay]
	return relayInterval
}

// oldest returns the age of the oldest state among the hosts for which include is true.
func (f *fleet) oldest(now time.Time, include func(host int) bool) time.Duration {
	var oldest time.Duration
	for i := range f.seen {
		if include(i) {
			oldest = max(oldest, now.Sub(f.seen[i]))
		}
	}
	return oldest
}

func everyHost(int) bool { return true }

// TestOutage guards against calls to a registry that is down growing with the number of hosts, and against
// hosts that learn late that it answers again.
func TestOutage(t *testing.T) {
	const down, up = 5 * time.Second, 11 * time.Second
	calls := make(map[int]int)
	for _, hosts := range []int{17, 195, 600} {
		f := newFleet(hosts, 6)
		f.refused = func(_ int, now time.Time) bool {
			return !now.Before(start.Add(down)) && now.Before(start.Add(up))
		}
		f.play(0, down)
		before := f.calls
		f.play(down, up)
		calls[hosts] = f.calls - before
		f.play(up, up+3*time.Second)
		if got, most := f.oldest(start.Add(up+3*time.Second), everyHost), 2500*time.Millisecond; got > most {
			t.Errorf("%d hosts: oldest state 3 s after the outage: got %v, want at most %v", hosts, got, most)
		}
	}
	if got, most := calls[600], 2*calls[17]+60; got > most {
		t.Errorf("calls of 600 hosts during an outage: got %d, want at most %d (17 hosts: %d, 195 hosts: %d)", got, most, calls[17], calls[195])
	}
}

// TestTurnedAway guards against hosts that stay without the state because the registry turns away some of them,
// among these all relays, while it serves the others.
func TestTurnedAway(t *testing.T) {
	for _, test := range []struct {
		name    string
		hosts   int
		domains int
		refused func(host int) bool
	}{
		{"all relays of a small fleet", 15, 3, func(host int) bool { return host < 3 }},
		{"all relays of a large fleet", 195, 6, func(host int) bool { return host < 6 }},
		{"a third of the hosts", 195, 6, func(host int) bool { return host%3 == 0 }},
		{"half of the hosts", 108, 4, func(host int) bool { return host%2 == 0 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(test.hosts, test.domains)
			f.play(0, 5*time.Second)
			f.refused = func(host int, _ time.Time) bool { return test.refused(host) }
			before := f.calls
			f.play(5*time.Second, 15*time.Second)
			if got, most := f.oldest(start.Add(15*time.Second), everyHost), 4*time.Second; got > most {
				t.Errorf("oldest state after 10 s: got %v, want at most %v", got, most)
			}
			if got, most := f.calls-before, 20*(test.domains*4); got > most {
				t.Errorf("calls in 10 s: got %d, want at most %d", got, most)
			}
		})
	}
}

// TestCutOff guards against a host that the registry serves but that no other host can reach, and that waits
// for the relays.
func TestCutOff(t *testing.T) {
	f := newFleet(195, 6)
	f.play(0, 4*time.Second)
	f.unreachable = func(int, time.Time) bool { return true }
	for _, after := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, 20 * time.Second} {
		f.play(after-4*time.Second, after)
		if got, most := f.oldest(start.Add(after), everyHost), 4*time.Second; got > most {
			t.Errorf("oldest state of hosts that are cut off from one another, after %v: got %v, want at most %v", after, got, most)
		}
	}
}

// TestBackToRegistry guards against a relay that follows another host for ever after the registry has turned it
// away for a time.
func TestBackToRegistry(t *testing.T) {
	f := newFleet(30, 3)
	f.play(0, 5*time.Second)
	f.refused = func(host int, now time.Time) bool { return host == 0 && now.Before(start.Add(10*time.Second)) }
	f.play(5*time.Second, 16*time.Second)
	if source := f.followers[0].Choose(f.peers, f.seen[0], start.Add(16*time.Second)); source.Relay != nil || source.Wait > 0 {
		t.Errorf("source of the relay after the registry serves it again: got %+v, want the registry", source)
	}
}

// TestSteady guards against hosts that ask the registry although relays have its state.
func TestSteady(t *testing.T) {
	f := newFleet(195, 6)
	f.play(0, 2*time.Second)
	before := f.calls
	f.play(2*time.Second, 12*time.Second)
	if got, most := f.calls-before, 6*11; got > most {
		t.Errorf("calls in 10 s without a fault: got %d, want at most %d, one a second of each relay", got, most)
	}
}

// TestUnsettledRelays guards against hosts that stay without the state because their relays stand still and the
// others wait for entries to return, although the registry answers.
func TestUnsettledRelays(t *testing.T) {
	for _, hosts := range []int{15, 195} {
		f := newFleet(hosts, 3)
		const standing = 2 // All relays but one.
		f.play(0, 5*time.Second)
		f.unreachable = func(host int, _ time.Time) bool { return host < standing }
		f.unsettled = func(_ int, now time.Time) bool { return now.Before(start.Add(8 * time.Second)) }
		for i := range standing {
			f.next[i] = start.Add(time.Hour)
		}
		before := f.calls
		// The tightest limit for acting on a change is 3 s.
		for after := 5 * time.Second; after < 12*time.Second; after += 500 * time.Millisecond {
			f.play(after, after+500*time.Millisecond)
			if got, most := f.oldest(start.Add(after+500*time.Millisecond), func(host int) bool { return host >= standing }), 3*time.Second; got > most {
				t.Errorf("%d hosts: oldest state after %v: got %v, want at most %v", hosts, after+500*time.Millisecond-5*time.Second, got, most)
			}
		}
		// Hosts that followed one of the standing relays ask the registry once a second for 3 s.
		if got, most := f.calls-before, 5*hosts; got > most {
			t.Errorf("%d hosts: calls to the registry: got %d, want at most %d", hosts, got, most)
		}
	}
}

// Behaviours of a relay.
const (
	working  = iota
	cutOff   // cutOff relays answer hosts but have lost the registry.
	silent   // silent relays answer nobody.
	bridged  // bridged relays can't be reached from one half of the hosts.
	variants // variants is the number of behaviours.
)

// applyLimit is the tightest limit for acting on a change of the registry.
const applyLimit = 3 * time.Second

// TestChangeReachesHosts guards against hosts that act on a change of the registry too late, although it answers them,
// because of what their relay, the next one and the one after do.
func TestChangeReachesHosts(t *testing.T) {
	if got := follower.MaxAge + 2*follower.RelayPatience + follower.ListAllowance; got >= applyLimit {
		t.Errorf("sum of the times from a change until it is in force: got %v, want less than %v", got, applyLimit)
	}
	for _, test := range []struct {
		name           string
		hosts, domains int
		relays         int // relays is the number of relays that vary.
		phases         int // phases is the number of moments at which they change their behaviour.
	}{
		{"small fleet, three domains", 15, 3, 3, 8},
		{"small fleet, four domains", 12, 4, 3, 4},
		{"large fleet", 60, 6, 3, 1}, // Hosts beyond all escalations exist.
	} {
		t.Run(test.name, func(t *testing.T) {
			combinations := 1
			for range test.relays {
				combinations *= variants
			}
			for combination := range combinations {
				behaviours := make([]int, test.hosts)
				for i, left := 0, combination; i < test.relays; i, left = i+1, left/variants {
					behaviours[i] = left % variants
				}
				for phase := range test.phases {
					at := 2*time.Second + time.Duration(phase)*(follower.PollInterval+follower.RegistryWait)/time.Duration(test.phases)
					if age, host := oldestAfter(test.hosts, test.domains, behaviours, at); age+follower.ListAllowance >= applyLimit {
						t.Errorf("relays %v from %v on: state of host %d was %v old and took up to %v more to renew, want less than %v in all",
							behaviours[:test.relays], at, host, age, follower.ListAllowance, applyLimit)
					}
				}
			}
		})
	}
}

// TestChangeReachesReturningRelay guards against a relay that looked for another one while the registry turned it away, and that acts
// late on a change after the registry answers it again and the other relays do not answer.
func TestChangeReachesReturningRelay(t *testing.T) {
	const refused, returns = 3 * time.Second, 7 * time.Second
	f := newFleet(15, 3)
	f.play(0, refused)
	f.refused = func(host int, now time.Time) bool { return host == 0 && now.Before(start.Add(returns)) }
	f.play(refused, returns)
	if f.current[0] == "" {
		t.Fatal("relay that is turned away: got no other relay, want one")
	}
	f.unreachable = func(host int, _ time.Time) bool { return host == 1 || host == 2 }
	for after := returns; after < returns+4*time.Second; after += playStep {
		f.play(after, after+playStep)
		if age := start.Add(after).Sub(f.seen[0]); age+follower.ListAllowance >= applyLimit {
			t.Fatalf("age of its state %v after it is served again: got %v, want less than %v", after-returns, age, applyLimit-follower.ListAllowance)
		}
	}
}

// oldestAfter plays a fleet whose relays change their behaviour at a time, and returns the greatest age of the state of a host that
// the registry answers.
func oldestAfter(hosts, domains int, behaviours []int, at time.Duration) (oldest time.Duration, host int) {
	f := newFleet(hosts, domains)
	f.play(0, at)
	f.refused = func(host int, _ time.Time) bool { return behaviours[host] == cutOff }
	f.unreachable = func(host int, _ time.Time) bool { return behaviours[host] == silent }
	f.apart = func(host, relay int, _ time.Time) bool { return behaviours[relay] == bridged && host%2 == 0 }
	for i, behaviour := range behaviours {
		if behaviour == silent {
			f.next[i] = start.Add(time.Hour)
		}
	}
	for after := at; after < at+3*time.Second; after += playStep {
		f.play(after, after+playStep)
		for i := range f.seen {
			if age := start.Add(after).Sub(f.seen[i]); behaviours[i] != cutOff && behaviours[i] != silent && age > oldest {
				oldest, host = age, i
			}
		}
	}
	return oldest, host
}
