package launcher_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/committer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// fleet is a set of hosts in this process. A function simulates their targets; the links
// between the hosts are real connections through proxies.
type fleet struct {
	hosts        []*launcher.Host
	links        []*simulator.Proxy // links are the proxies of the hosts' link listeners.
	targets      *simulator.ScriptedSender
	meter        *simulator.Meter
	stoppedHosts int
}

// fleetSetup describes a fleet with one index whose shards have two replicas each.
type fleetSetup struct {
	hosts, shards int
	rules         wigeonspindle.Rules
	clock         wigeonspindle.Clock                      // clock defaults to the system clock.
	preference    wigeonspindle.Preference                 // preference defaults to coverage.
	replicaDomain func(shard, replica int) (domain string) // replicaDomain by default puts one replica in each of "a" and "b".
}

func newFleet(t testing.TB, hosts, shards int, rules wigeonspindle.Rules) *fleet {
	t.Helper()
	return fleetSetup{hosts: hosts, shards: shards, rules: rules}.start(t)
}

// start starts the hosts and waits until all of them are ready.
func (s fleetSetup) start(t testing.TB) *fleet {
	t.Helper()
	if s.clock == nil {
		s.clock = timekeeper.SystemClock{}
	}
	if s.replicaDomain == nil {
		s.replicaDomain = func(_, replica int) string { return string(rune('a' + replica)) }
	}
	index := wigeonspindle.Index{
		Name: "lookup", Preference: cmp.Or(s.preference, wigeonspindle.PreferCoverage), Snapshots: []wigeonspindle.Snapshot{{Version: "v1"}},
	}
	for i := range s.shards {
		shard := fmt.Sprintf("s%d", i)
		index.Snapshots[0].Shards = append(index.Snapshots[0].Shards, shard)
		for j := range 2 {
			index.Targets = append(index.Targets, wigeonspindle.Target{
				Name: fmt.Sprintf("%s-%d", shard, j), Address: fmt.Sprintf("127.0.0.1:%d", 1+2*i+j), Domain: s.replicaDomain(i, j), Shards: []string{shard},
				Slots: 8, Connections: 50, Floor: 1000,
			})
		}
	}
	f := &fleet{targets: &simulator.ScriptedSender{}, meter: &simulator.Meter{}}
	store := &simulator.MemoryStore{}
	publishConfig(t, store, wigeonspindle.Config{Rules: s.rules, Domains: s.domains(), Indexes: []wigeonspindle.Index{index}})
	for i := range s.hosts {
		domain := string(rune('a' + i))
		settings := parser.Settings{Name: "host-" + domain, Domain: domain, Cell: "main", CallerAddress: simulator.ReservedAddress(), LinkListenAddress: simulator.ReservedAddress(), Workers: 2}
		link := &simulator.Proxy{Upstream: settings.LinkListenAddress}
		if err := link.Run(); err != nil {
			t.Fatal(err)
		}
		f.links = append(f.links, link)
		settings.LinkAddress = link.Address()
		store.Listings = append(store.Listings, wigeonspindle.ListedHost{Name: settings.Name, LinkAddress: settings.LinkAddress})
		f.hosts = append(f.hosts, &launcher.Host{
			Settings: settings, Clock: s.clock, Logger: log.New(io.Discard), Store: store, Lister: store,
			Sender: f.targets, Meter: f.meter,
		})
	}
	for _, host := range f.hosts {
		if err := host.Run(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range f.hosts {
		f.awaitReady(t, i, s.shards)
	}
	return f
}

// domains returns the failure domains of the hosts and the replicas.
func (s fleetSetup) domains() []wigeonspindle.Domain {
	var domains []wigeonspindle.Domain
	for i := range max(s.hosts, 2) {
		domains = append(domains, wigeonspindle.Domain{Name: string(rune('a' + i))})
	}
	return domains
}

// awaitReady waits until a host gives complete answers and knows all other hosts.
func (f *fleet) awaitReady(t testing.TB, host, shards int) {
	t.Helper()
	for range 200 {
		answer := f.hosts[host].Query(context.Background(), newQuery(time.Second))
		if answer.Coverage.Answered == shards && len(f.hosts[host].Addresses("").Addresses) == len(f.hosts) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("host %d: got an incomplete answer or address list, want both complete", host)
}

// close stops hosts at once. It closes the proxies after the last host.
func (f *fleet) close(hosts ...*launcher.Host) {
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range hosts {
		_ = host.Close(stopped)
	}
	if f.stoppedHosts += len(hosts); f.stoppedHosts == len(f.hosts) {
		for _, link := range f.links {
			_ = link.Close()
		}
	}
}

// issueIdentity returns an identity that names the incarnation of the host.
func (f *fleet) issueIdentity(t testing.TB, host int) wigeonspindle.Identity {
	t.Helper()
	identity, err := encoder.ParseIdentity(f.hosts[host].Addresses(f.hosts[host].Settings.Domain).Identity)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

func newQuery(budget time.Duration) wigeonspindle.Query {
	now := time.Now()
	return wigeonspindle.Query{
		Index: "lookup", Class: wigeonspindle.ClassIdempotent, Body: []byte("wool"), Caller: "test", Arrived: now, Deadline: now.Add(budget),
	}
}

func newOnceQuery(identity wigeonspindle.Identity, budget time.Duration) wigeonspindle.Query {
	request := newQuery(budget)
	request.Class, request.Identity, request.Shards = wigeonspindle.ClassOnce, identity, []string{"s0"}
	return request
}

// publishConfig writes a configuration to the store. Unset rules get their default values,
// except Extra and Canary, whose zero values are meaningful.
func publishConfig(t testing.TB, store wigeonspindle.Store, config wigeonspindle.Config) {
	t.Helper()
	defaults := validator.DefaultRules()
	rules := &config.Rules
	rules.Soft = cmp.Or(rules.Soft, defaults.Soft)
	rules.Lifetime = cmp.Or(rules.Lifetime, defaults.Lifetime)
	rules.Expiry = cmp.Or(rules.Expiry, defaults.Expiry)
	rules.Lease = cmp.Or(rules.Lease, defaults.Lease)
	c := &committer.Committer{Store: store, Codec: encoder.JSONCodec{}, Validator: validator.New()}
	change := wigeonspindle.ConfigChange{Identity: "seed", Author: "test", Config: config}
	if _, _, err := c.Commit(t.Context(), committer.Proposal{Change: change, Now: time.Now()}); err != nil {
		t.Fatal(err)
	}
}
