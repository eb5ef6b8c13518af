package simulator

import (
	"fmt"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Group configures the targets of one index.
type Group struct {
	Index       string                   `json:"index"`
	Preference  wigeonspindle.Preference `json:"prefer"`
	Domains     []string                 `json:"domains"`
	Shards      int                      `json:"shards"`
	Replicas    int                      `json:"replicas"` // Replicas is the number of targets per shard.
	Slots       int                      `json:"slots"`
	Connections int                      `json:"connections"`
	Open        wigeonspindle.Duration   `json:"open"`
	ServiceTime wigeonspindle.Duration   `json:"service"`
	Jitter      float64                  `json:"jitter"`
	Floor       float64                  `json:"floor"`
	StartCold   bool                     `json:"cold,omitempty"`  // StartCold makes the targets start cold.
	CrashText   string                   `json:"crash,omitempty"` // CrashText crashes a target when a request body contains it.
	Downtime    wigeonspindle.Duration   `json:"down,omitempty"`  // Downtime is how long the listener is closed after a crash.
}

// Version is the snapshot that every target serves initially.
const Version = "v1"

// newTargets creates the simulated targets of the group. The replicas of a shard are spread
// over the failure domains.
func (g Group) newTargets(seed uint64, completions *CompletionLog) []*placedTarget {
	var targets []*placedTarget
	for shard := range g.Shards {
		for replica := range g.Replicas {
			name := fmt.Sprintf("%s-s%02d-r%d", g.Index, shard, replica)
			listener := &Listener{Address: Loopback(), MaxConnections: g.Connections, OpenDelay: g.Open.Value()}
			targets = append(targets, &placedTarget{
				index: g.Index, domain: g.Domains[(shard+replica)%len(g.Domains)], shard: fmt.Sprintf("s%02d", shard),
				Target: &Target{
					Name: name, Slots: g.Slots, Snapshots: []string{Version}, ServiceTime: g.ServiceTime.Value(), Jitter: g.Jitter,
					StartID: name, Seed: seed, Floor: g.Floor, StartCold: g.StartCold, CrashText: g.CrashText, Downtime: time.Duration(g.Downtime),
					Listener: listener, Completions: completions,
				},
			})
		}
	}
	return targets
}

// indexConfig returns the configuration of the index that the group's running targets serve.
func (g Group) indexConfig(targets []*placedTarget) wigeonspindle.Index {
	index := wigeonspindle.Index{Name: g.Index, Preference: g.Preference}
	snapshot := wigeonspindle.Snapshot{Version: Version}
	for shard := range g.Shards {
		snapshot.Shards = append(snapshot.Shards, fmt.Sprintf("s%02d", shard))
	}
	index.Snapshots = []wigeonspindle.Snapshot{snapshot}
	for _, target := range targets {
		if target.index != g.Index {
			continue
		}
		index.Targets = append(index.Targets, wigeonspindle.Target{
			Name: target.Name, Address: target.Listener.Address, Domain: target.domain, Shards: []string{target.shard},
			Slots: g.Slots, Connections: g.Connections, Open: g.Open, Floor: g.Floor,
		})
	}
	return index
}
