package launcher_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/committer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
)

// fleet is a set of hosts in this process whose targets are a function. The links between
// the hosts are real.
type fleet struct {
	hosts   []*launcher.Host
	links   []*proxy // links are in front of the hosts' link listeners.
	targets *targets
	meter   *meter
	stopped int
}

// setup describes a fleet with one index. Each shard has two replicas.
type setup struct {
	hosts, shards int
	rules         wigeonspindle.Rules
	clock         wigeonspindle.Clock                      // clock is the system's when nil.
	prefer        wigeonspindle.Preference                 // prefer is coverage when empty.
	place         func(shard, replica int) (domain string) // place puts one replica in each of "a" and "b" when nil.
}

func newFleet(t testing.TB, hosts, shards int, rules wigeonspindle.Rules) *fleet {
	t.Helper()
	return setup{hosts: hosts, shards: shards, rules: rules}.start(t)
}

// start starts the hosts and waits until all of them answer.
func (s setup) start(t testing.TB) *fleet {
	t.Helper()
	if s.clock == nil {
		s.clock = systemClock{}
	}
	if s.place == nil {
		s.place = func(_, replica int) string { return string(rune('a' + replica)) }
	}
	index := wigeonspindle.Index{
		Name: "lookup", Prefer: cmp.Or(s.prefer, wigeonspindle.CoverageFirst), Snapshots: []wigeonspindle.Snapshot{{Version: "v1"}},
	}
	for i := range s.shards {
		shard := fmt.Sprintf("s%d", i)
		index.Snapshots[0].Shards = append(index.Snapshots[0].Shards, shard)
		for j := range 2 {
			index.Targets = append(index.Targets, wigeonspindle.Target{
				Name: fmt.Sprintf("%s-%d", shard, j), Address: fmt.Sprintf("127.0.0.1:%d", 1+2*i+j), Domain: s.place(i, j), Shards: []string{shard},
				Slots: 8, Connections: 50, Floor: 1000,
			})
		}
	}
	f := &fleet{targets: &targets{runs: make(map[string]int)}, meter: &meter{dropped: make(map[string]int)}}
	store := &memory{records: make(map[string]wigeonspindle.Record)}
	publish(t, store, wigeonspindle.Config{Rules: s.rules, Domains: s.domains(), Indexes: []wigeonspindle.Index{index}})
	for i := range s.hosts {
		domain := string(rune('a' + i))
		settings := parser.Settings{Name: "host-" + domain, Domain: domain, Cell: "main", Caller: free(t), Listen: free(t), Workers: 2}
		f.links = append(f.links, newProxy(t, settings.Listen))
		settings.Link = f.links[i].listener.Addr().String()
		store.listings = append(store.listings, wigeonspindle.Listing{Name: settings.Name, Link: settings.Link})
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
		f.await(t, i, s.shards)
	}
	return f
}

// domains returns the failure domains of the hosts and the replicas.
func (s setup) domains() []wigeonspindle.Domain {
	var domains []wigeonspindle.Domain
	for i := range max(s.hosts, 2) {
		domains = append(domains, wigeonspindle.Domain{Name: string(rune('a' + i))})
	}
	return domains
}

// await waits until a host gives whole answers and knows all others.
func (f *fleet) await(t testing.TB, host, shards int) {
	t.Helper()
	for range 200 {
		answer := f.hosts[host].Query(context.Background(), query(time.Second))
		if answer.Coverage.Answered == shards && len(f.hosts[host].Addresses("").Addresses) == len(f.hosts) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("host %d gave no whole answer", host)
}

// close stops hosts at once, and the links once all hosts are stopped.
func (f *fleet) close(hosts ...*launcher.Host) {
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	for _, host := range hosts {
		_ = host.Close(stopped)
	}
	if f.stopped += len(hosts); f.stopped == len(f.hosts) {
		for _, link := range f.links {
			link.close()
		}
	}
}

// identity returns an identity that a host issued for itself.
func (f *fleet) identity(t testing.TB, host int) wigeonspindle.Identity {
	t.Helper()
	identity, err := encoder.ParseIdentity(f.hosts[host].Addresses(f.hosts[host].Settings.Domain).Identity)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

func query(budget time.Duration) wigeonspindle.Query {
	now := time.Now()
	return wigeonspindle.Query{
		Index: "lookup", Class: wigeonspindle.Idempotent, Body: []byte("wool"), Caller: "test", Arrived: now, Deadline: now.Add(budget),
	}
}

func once(identity wigeonspindle.Identity, budget time.Duration) wigeonspindle.Query {
	request := query(budget)
	request.Class, request.Identity, request.Shards = wigeonspindle.Once, identity, []string{"s0"}
	return request
}

// targets is a Sender that counts the runs of each identity.
type targets struct {
	mutex sync.Mutex
	run   func(ctx context.Context, attempt wigeonspindle.Attempt, outcome *wigeonspindle.Outcome)
	runs  map[string]int // runs is keyed by the nonce of a once request or by the body.
}

// script sets what the targets do. It returns after no earlier script is used for new work.
func (s *targets) script(run func(ctx context.Context, attempt wigeonspindle.Attempt, outcome *wigeonspindle.Outcome)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.run = run
}

// count returns how often the request with a nonce, or else with a body, ran.
func (s *targets) count(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[key]
}

// Send runs an attempt.
func (s *targets) Send(ctx context.Context, target wigeonspindle.Target, attempt wigeonspindle.Attempt) wigeonspindle.Outcome {
	outcome := wigeonspindle.Outcome{
		ID: attempt.ID, Query: attempt.Query, Target: target.Name, Shard: attempt.Shard, Snapshot: attempt.Snapshot,
		Generation: attempt.Generation, Verdict: wigeonspindle.Ran, Body: []byte(attempt.Shard),
	}
	key := cmp.Or(attempt.Identity.Nonce, string(attempt.Body))
	s.mutex.Lock()
	run := s.run
	s.runs[key]++ // An attempt counts from its start: it outlives the host that sent it.
	s.mutex.Unlock()
	if run != nil {
		limited, cancel := context.WithDeadline(ctx, attempt.Deadline)
		defer cancel()
		run(limited, attempt, &outcome)
	}
	if outcome.Verdict == wigeonspindle.NotRun {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.runs[key]--
	}
	return outcome
}

// memory is a store and a host list in this process.
type memory struct {
	mutex    sync.Mutex
	records  map[string]wigeonspindle.Record
	changed  chan struct{} // changed is closed at the next write.
	listings []wigeonspindle.Listing
}

// publish writes a configuration. Rules that a test leaves out have the default values,
// except Extra and Canary, whose zero values mean something.
func publish(t testing.TB, store wigeonspindle.Store, config wigeonspindle.Config) {
	t.Helper()
	defaults := validator.DefaultRules()
	rules := &config.Rules
	rules.Soft = cmp.Or(rules.Soft, defaults.Soft)
	rules.Lifetime = cmp.Or(rules.Lifetime, defaults.Lifetime)
	rules.Expiry = cmp.Or(rules.Expiry, defaults.Expiry)
	rules.Lease = cmp.Or(rules.Lease, defaults.Lease)
	c := &committer.Committer{Store: store, Codec: encoder.Documents{}, Validator: validator.New()}
	change := wigeonspindle.Change{Identity: "seed", Author: "test", Config: config}
	if _, _, err := c.Commit(t.Context(), committer.Proposal{Change: change, Now: time.Now()}); err != nil {
		t.Fatal(err)
	}
}

// Get returns a record.
func (m *memory) Get(_ context.Context, key string) (wigeonspindle.Record, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.records[key]
	record.Key = key
	return record, nil
}

// Swap writes a record when its version is the current one.
func (m *memory) Swap(_ context.Context, record wigeonspindle.Record) (wigeonspindle.Record, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.records[record.Key].Version != record.Version {
		return wigeonspindle.Record{}, &wigeonspindle.Refusal{Code: wigeonspindle.CodeConflict, Verdict: wigeonspindle.NotRun}
	}
	record.Version++
	m.records[record.Key] = record
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	return record, nil
}

// Watch waits for a newer version of a record.
func (m *memory) Watch(ctx context.Context, key string, after uint64) (wigeonspindle.Record, error) {
	for {
		m.mutex.Lock()
		record := m.records[key]
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mutex.Unlock()
		if record.Version > after {
			return record, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return wigeonspindle.Record{}, ctx.Err()
		}
	}
}

// List returns the hosts.
func (m *memory) List(context.Context) ([]wigeonspindle.Listing, error) { return m.listings, nil }

// meter counts what full rings refused and the kinds of sends.
type meter struct {
	mutex   sync.Mutex
	dropped map[string]int
	sent    map[wigeonspindle.SendKind]int
	gate    sync.RWMutex // gate stops the query loops at their next send while it is held.
}

// Answered ignores an answer.
func (m *meter) Answered(string, wigeonspindle.Verdict, wigeonspindle.Coverage, time.Duration) {}

// Refused ignores a refusal.
func (m *meter) Refused(string, wigeonspindle.Code) {}

// Sent counts a send.
func (m *meter) Sent(_ string, kind wigeonspindle.SendKind) {
	m.gate.RLock()
	defer m.gate.RUnlock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.sent == nil {
		m.sent = make(map[wigeonspindle.SendKind]int)
	}
	m.sent[kind]++
}

// Dropped counts a dropped element.
func (m *meter) Dropped(ring string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dropped[ring]++
}

// count returns how many elements a kind of ring refused.
func (m *meter) count(ring string) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.dropped[ring]
}

// sends returns the number of sends.
func (m *meter) sends() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	total := 0
	for _, count := range m.sent {
		total += count
	}
	return total
}
