package simulator

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

// headerTimeout bounds how long a simulated service waits for the header of a request.
const headerTimeout = 10 * time.Second

// Settings configures an Environment.
type Settings struct {
	Seed    uint64  `json:"seed"`    // Seed makes every random choice reproducible.
	Control string  `json:"control"` // Control is the listen address of the control port.
	Store   string  `json:"store"`
	Hosts   string  `json:"hosts"`
	Groups  []Group `json:"groups"`
}

// Addresses holds the listen addresses of a running Environment and its inventory.
type Addresses struct {
	Seed    uint64                `json:"seed"`
	Control string                `json:"control"`
	Store   string                `json:"store"`
	Hosts   string                `json:"hosts"`
	Indexes []wigeonspindle.Index `json:"indexes"`
}

// Counts holds the counters of all simulated services of an Environment.
type Counts struct {
	Store   StoreCalls             `json:"store"`
	Hosts   int                    `json:"hosts"`
	Total   TargetStats            `json:"total"` // Total sums all targets; its PeakRunning is the largest of theirs.
	Targets map[string]TargetStats `json:"targets"`
}

// Environment runs simulated targets, a key-value service and a host list in one process.
type Environment struct {
	Settings    Settings
	Store       Store
	Hosts       HostList
	Completions CompletionLog

	targets  []*placedTarget
	servers  []*http.Server
	wg       sync.WaitGroup
	mutex    sync.Mutex
	serveErr error
}

// placedTarget is a target with its index, failure domain and shard.
type placedTarget struct {
	*Target

	index, domain, shard string
}

// Run starts all simulated services and returns their addresses.
func (e *Environment) Run() (Addresses, error) {
	addresses := Addresses{Seed: e.Settings.Seed}
	err := e.validate()
	if err == nil {
		err = e.runTargets()
	}
	if err == nil {
		addresses.Store, err = e.listen(e.Settings.Store, &e.Store)
	}
	if err == nil {
		addresses.Hosts, err = e.listen(e.Settings.Hosts, &e.Hosts)
	}
	if err == nil {
		addresses.Control, err = e.listen(e.Settings.Control, e.controlHandler())
	}
	if err != nil {
		return addresses, errors.CombineErrors(err, e.Close())
	}
	for _, group := range e.Settings.Groups {
		addresses.Indexes = append(addresses.Indexes, group.indexConfig(e.targets))
	}
	return addresses, nil
}

// validate reports settings with which no target can run.
func (e *Environment) validate() error {
	for _, group := range e.Settings.Groups {
		switch {
		case group.Index == "" || len(group.Domains) == 0 || group.Shards < 1 || group.Replicas < 1:
			return errors.Newf("group %q: index, domains, shards and replicas are required", group.Index)
		case group.Slots < 1 || group.ServiceTime <= 0 || group.Floor <= 0:
			return errors.Newf("group %q: slots, service and floor must be positive", group.Index)
		}
	}
	return nil
}

func (e *Environment) runTargets() error {
	for _, group := range e.Settings.Groups {
		for _, target := range group.newTargets(e.Settings.Seed, &e.Completions) {
			if err := target.Listener.Run(); err != nil {
				return err
			}
			e.targets = append(e.targets, target)
			e.serve(target.Listener, target)
		}
	}
	return nil
}

// listen serves a handler on an address; an empty address selects a free loopback port.
func (e *Environment) listen(address string, handler http.Handler) (string, error) {
	if address == "" {
		address = Loopback()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen on %s", address)
	}
	e.serve(listener, handler)
	return listener.Addr().String(), nil
}

func (e *Environment) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	e.servers = append(e.servers, server)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.serveErr = errors.CombineErrors(e.serveErr, err)
	}()
}

// Close stops every simulated service, resets its connections and waits for its goroutines.
func (e *Environment) Close() error {
	var err error
	for _, server := range e.servers {
		if closeErr := server.Close(); !errors.Is(closeErr, net.ErrClosed) {
			err = errors.CombineErrors(err, closeErr)
		}
	}
	e.wg.Wait()
	return errors.CombineErrors(err, e.serveErr)
}

// Apply changes the faults of the selected targets and returns how many were selected.
func (e *Environment) Apply(change TargetChange) int {
	selected := 0
	for _, target := range e.targets {
		nameMatches := len(change.Names) == 0 || slices.Contains(change.Names, target.Name)
		domainMatches := change.Domain == "" || change.Domain == target.domain
		if nameMatches && domainMatches && (change.Index == "" || change.Index == target.index) {
			target.Target.Apply(change)
			selected++
		}
	}
	return selected
}

// Counts returns the current counters of all simulated services.
func (e *Environment) Counts() Counts {
	counts := Counts{Store: e.Store.Counts(), Hosts: e.Hosts.Calls(), Targets: make(map[string]TargetStats)}
	for _, target := range e.targets {
		stats := target.Stats()
		counts.Targets[target.Name] = stats
		counts.Total.add(target.index, stats)
	}
	return counts
}

// add adds the counters of another target; shard names are prefixed with their index.
func (s *TargetStats) add(index string, other TargetStats) {
	s.Started += other.Started
	s.Completed += other.Completed
	s.Cancelled += other.Cancelled
	s.Expired += other.Expired
	s.Shed += other.Shed
	s.PeakRunning = max(s.PeakRunning, other.PeakRunning)
	s.OverSlots += other.OverSlots
	s.OverColdLimit += other.OverColdLimit
	s.Crashes += other.Crashes
	s.RefusedConnections += other.RefusedConnections
	if s.CompletedByShard == nil {
		s.CompletedByShard, s.RunsByIdentity = make(map[string]int), make(map[string]int)
	}
	for shard, runs := range other.CompletedByShard {
		s.CompletedByShard[index+"/"+shard] += runs
	}
	for identity, runs := range other.RunsByIdentity {
		s.RunsByIdentity[identity] += runs
	}
}
