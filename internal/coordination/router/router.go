// Package router chooses replicas for attempts and ranks hosts as owners of targets.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

// RankHosts orders hosts by preference as the owner of a target: hosts of the target's failure
// domain first, each group by rendezvous hash. All hosts compute the same order from the same
// list.
func RankHosts(target wigeonspindle.Target, hosts []wigeonspindle.Host) []wigeonspindle.Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b wigeonspindle.Host) int {
		if byDomain := cmp.Compare(domainDistance(target, a), domainDistance(target, b)); byDomain != 0 {
			return byDomain
		}
		if byWeight := cmp.Compare(rendezvousWeight(target, b), rendezvousWeight(target, a)); byWeight != 0 {
			return byWeight
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return ranked
}

func domainDistance(target wigeonspindle.Target, host wigeonspindle.Host) int {
	if target.Domain == host.Domain {
		return 0
	}
	return 1
}

func rendezvousWeight(target wigeonspindle.Target, host wigeonspindle.Host) uint64 {
	return xxhash.Sum64String(target.Name + "\x00" + host.Name)
}

// PreferredOwner returns the host that ranks first as the owner of a target. It returns false
// when there are no hosts.
func PreferredOwner(target wigeonspindle.Target, hosts []wigeonspindle.Host) (wigeonspindle.Host, bool) {
	if len(hosts) == 0 {
		return wigeonspindle.Host{}, false
	}
	return RankHosts(target, hosts)[0], true
}

const (
	// loadTTL is how long a reported load is used. An idle replica reports none, so without
	// expiry an old high load would keep traffic away from it for ever.
	loadTTL = time.Second
	// levelTTL is how long a reported ramp level is used. It is longer than loadTTL
	// because a cold replica does not warm up while it is skipped.
	levelTTL = 10 * time.Second
	// deprioritizeDuration is how long an unreachable replica is the last choice. It covers the
	// propagation of a new owner table, which takes a few hundred milliseconds.
	deprioritizeDuration = 500 * time.Millisecond
	// missingSnapshotTTL is how long a replica that refused a snapshot gets no attempts for it.
	// The replica may load the snapshot meanwhile, so it is tried again afterwards.
	missingSnapshotTTL = 5 * time.Second
	// maxMissingSnapshots bounds the refused snapshots that are kept: a few versions for each
	// target of a cell.
	maxMissingSnapshots = 4096
	// crossDomainCost is the network latency that a replica in another failure domain adds.
	crossDomainCost = time.Millisecond
	// defaultLatency is assumed for a replica without a reported latency.
	defaultLatency = 5 * time.Millisecond
)

// Picker chooses replicas for the attempts of queries. It is not safe for concurrent use, so
// each query loop has its own.
type Picker struct {
	// Domain is the host's own failure domain, whose replicas are preferred.
	Domain string
	// Rand selects the replicas to compare.
	Rand *rand.Rand

	config           *wigeonspindle.Config
	replicas         map[string]map[string][]*replica
	targets          map[string]*replica
	placement        *wigeonspindle.Placement
	missingSnapshots map[targetSnapshot]time.Time

	candidates, local, remote []*replica
}

// replica is a target with its last reported load.
type replica struct {
	target             wigeonspindle.Target
	load               wigeonspindle.Load
	loadObservedAt     time.Time
	attemptsSinceLoad  int // attemptsSinceLoad is the number of attempts since load was reported.
	deprioritizedUntil time.Time
}

type targetSnapshot struct{ target, version string }

// Configure replaces the configuration and the placement. The state of targets that remain is
// kept.
func (p *Picker) Configure(config *wigeonspindle.Config, placement *wigeonspindle.Placement) {
	known := p.targets
	p.config = config
	p.replicas = make(map[string]map[string][]*replica, len(config.Indexes))
	p.targets = make(map[string]*replica)
	p.placement = placement
	for _, index := range config.Indexes {
		shards := make(map[string][]*replica)
		p.replicas[index.Name] = shards
		for _, target := range index.Targets {
			entry := known[target.Name]
			if entry == nil {
				entry = &replica{}
			}
			entry.target = target
			p.targets[target.Name] = entry
			for _, shard := range target.Shards {
				shards[shard] = append(shards[shard], entry)
			}
		}
	}
}

// Config returns the configuration in use.
func (p *Picker) Config() *wigeonspindle.Config { return p.config }

// ObserveLoad records the load of a target that its owner reported with an outcome.
func (p *Picker) ObserveLoad(target string, load wigeonspindle.Load, now time.Time) {
	if r := p.targets[target]; r != nil && load != (wigeonspindle.Load{}) {
		r.load, r.loadObservedAt, r.attemptsSinceLoad = load, now, 0
	}
}

// Deprioritize makes a replica the last choice for deprioritizeDuration, because it crashed, it
// is leaving or its owner is unreachable.
func (p *Picker) Deprioritize(target string, now time.Time) {
	if r := p.targets[target]; r != nil {
		r.deprioritizedUntil = now.Add(deprioritizeDuration)
	}
}

// MarkSnapshotMissing records that a replica refused attempts for a snapshot it does not hold.
func (p *Picker) MarkSnapshotMissing(target, version string, now time.Time) {
	if p.missingSnapshots == nil {
		p.missingSnapshots = make(map[targetSnapshot]time.Time)
	}
	if len(p.missingSnapshots) >= maxMissingSnapshots {
		clear(p.missingSnapshots)
	}
	p.missingSnapshots[targetSnapshot{target, version}] = now.Add(missingSnapshotTTL)
}

// HasSnapshot reports whether a replica of the shard is in service and has not lately refused
// the snapshot.
func (p *Picker) HasSnapshot(index, version, shard string, now time.Time) bool {
	for _, r := range p.replicas[index][shard] {
		if p.canServe(r, version, now) {
			return true
		}
	}
	return false
}

func (p *Picker) canServe(r *replica, version string, now time.Time) bool {
	if !p.placement.Accepts(r.target) {
		return false
	}
	return len(p.missingSnapshots) == 0 || !now.Before(p.missingSnapshots[targetSnapshot{r.target.Name, version}])
}

// Pick returns a replica of the shard that was not tried yet: the cheaper of two random ones,
// one in the host's own failure domain and one in another where there are both.
func (p *Picker) Pick(index, version, shard string, tried []string, now time.Time) (string, bool) {
	p.candidates = p.candidates[:0]
	for _, r := range p.replicas[index][shard] {
		if p.canServe(r, version, now) && !slices.Contains(tried, r.target.Name) {
			p.candidates = append(p.candidates, r)
		}
	}
	p.filterCandidates(func(r *replica) bool { return !now.Before(r.deprioritizedUntil) })
	p.filterCandidates(func(r *replica) bool { return r.level(now) >= 1 || p.Rand.Float64() < r.level(now) })
	if len(p.candidates) == 0 {
		return "", false
	}
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, r := range p.candidates {
		if r.target.Domain == p.Domain {
			p.local = append(p.local, r)
		} else {
			p.remote = append(p.remote, r)
		}
	}
	chosen := p.cheaper(p.drawReplica(p.local), p.drawReplica(p.remote), now)
	if len(p.local) == 0 || len(p.remote) == 0 {
		chosen = p.cheaper(p.drawReplica(p.candidates), p.drawReplica(p.candidates), now)
	}
	chosen.attemptsSinceLoad++
	return chosen.target.Name, true
}

// filterCandidates removes the candidates that do not meet the condition, unless none does.
func (p *Picker) filterCandidates(condition func(*replica) bool) {
	kept := 0
	for i, r := range p.candidates {
		if condition(r) {
			p.candidates[i], p.candidates[kept] = p.candidates[kept], r
			kept++
		}
	}
	if kept > 0 {
		p.candidates = p.candidates[:kept]
	}
}

func (p *Picker) drawReplica(from []*replica) *replica {
	if len(from) == 0 {
		return nil
	}
	return from[p.Rand.IntN(len(from))]
}

func (p *Picker) cheaper(a, b *replica, now time.Time) *replica {
	if a == nil || b != nil && p.expectedCost(b, now) < p.expectedCost(a, now) {
		return b
	}
	return a
}

// expectedCost returns the expected time until an attempt sent now completes: its latency and
// its wait in the queue.
func (p *Picker) expectedCost(r *replica, now time.Time) time.Duration {
	latency, queued := defaultLatency, r.attemptsSinceLoad
	if now.Sub(r.loadObservedAt) < loadTTL {
		queued += r.load.Waiting + r.load.Running
		if r.load.Expected > 0 {
			latency = r.load.Expected
		}
	} else {
		r.attemptsSinceLoad = 0
	}
	cost := latency + time.Duration(float64(latency)*float64(queued)/float64(max(r.target.Slots, 1))/r.level(now))
	if r.target.Domain != p.Domain {
		cost += crossDomainCost
	}
	return cost
}

// level returns the last reported ramp level, or 1 when it is missing or older than levelTTL.
func (r *replica) level(now time.Time) float64 {
	if r.load.Level <= 0 || now.Sub(r.loadObservedAt) >= levelTTL {
		return 1
	}
	return min(r.load.Level, 1)
}
