package loader

import (
	"fmt"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// Deployment describes the size and the traffic of an installation.
type Deployment struct {
	Name    string
	Domains []string
	Hosts   int
	Workers int
	Groups  []simulator.Group
	Traffic []Traffic
	Budget  time.Duration // Budget is the time from a request to its deadline.
	Rules   wigeonspindle.Rules
}

// Traffic is a stream of requests to one index.
type Traffic struct {
	Index string
	Class wigeonspindle.Class
	Rate  float64 // Rate is in requests per second.
}

// Traffic and service times that the design page does not specify. Each target of the
// many-shard index receives about a tenth of its capacity, so that stragglers and not queues
// determine the latency.
const (
	manyShardServiceTime = 10 * time.Millisecond
	smallServiceTime     = 5 * time.Millisecond
	manyShardRate        = 40
	smallRate            = 10
	jitter               = 0.3
	coldFloor            = 20
	shards               = 50
	replicas             = 2
	slots                = 2
)

// Deployments returns the installations of table 1.4 of the design page, keyed by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{"cooperative": cooperative(), "hinterberger": hinterberger()}
}

func cooperative() Deployment {
	domains := domainNames(4)
	manyShard := simulator.Group{
		Index: "lookup", Preference: wigeonspindle.PreferCoverage, Shards: shards, Replicas: replicas, Connections: 50,
		Open: wigeonspindle.Duration(6 * time.Millisecond), ServiceTime: wigeonspindle.Duration(manyShardServiceTime),
	}
	commissions := simulator.Group{
		Index: "commissions", Preference: wigeonspindle.PreferCoverage, Shards: 1, Replicas: 7, Connections: 190,
		Open: wigeonspindle.Duration(time.Millisecond), ServiceTime: wigeonspindle.Duration(smallServiceTime),
	}
	ledger := commissions
	ledger.Index, ledger.Replicas = "ledger", 4
	return Deployment{
		Name: "cooperative", Domains: domains, Hosts: 12, Workers: 2, Budget: time.Second, Rules: validator.DefaultRules(),
		Groups: withCommonSettings(domains, manyShard, commissions, ledger),
		Traffic: []Traffic{
			{Index: "lookup", Class: wigeonspindle.ClassIdempotent, Rate: manyShardRate},
			{Index: "commissions", Class: wigeonspindle.ClassOnce, Rate: smallRate},
			{Index: "ledger", Class: wigeonspindle.ClassIdempotent, Rate: smallRate},
		},
	}
}

func hinterberger() Deployment {
	domains := domainNames(3)
	manyShard := simulator.Group{
		Index: "portal", Preference: wigeonspindle.PreferTailLatency, Shards: shards, Replicas: replicas, Connections: 55,
		Open: wigeonspindle.Duration(6 * time.Millisecond), ServiceTime: wigeonspindle.Duration(manyShardServiceTime),
	}
	warehouse := simulator.Group{
		Index: "warehouse", Preference: wigeonspindle.PreferTailLatency, Shards: 1, Replicas: 20, Connections: 75,
		Open: wigeonspindle.Duration(time.Millisecond), ServiceTime: wigeonspindle.Duration(smallServiceTime),
	}
	accounts := warehouse
	accounts.Index, accounts.Replicas = "accounts", 10
	return Deployment{
		Name: "hinterberger", Domains: domains, Hosts: 12, Workers: 2, Budget: 500 * time.Millisecond, Rules: validator.DefaultRules(),
		Groups: withCommonSettings(domains, manyShard, warehouse, accounts),
		Traffic: []Traffic{
			{Index: "portal", Class: wigeonspindle.ClassIdempotent, Rate: manyShardRate},
			{Index: "warehouse", Class: wigeonspindle.ClassOnce, Rate: smallRate},
			{Index: "accounts", Class: wigeonspindle.ClassIdempotent, Rate: smallRate},
		},
	}
}

// demonstration is one many-shard index over four domains behind a few hosts.
func demonstration() Deployment {
	deployment := cooperative()
	deployment.Name, deployment.Hosts = "demonstration", 4
	deployment.Groups, deployment.Traffic = deployment.Groups[:1], deployment.Traffic[:1]
	return deployment
}

// withCommonSettings sets the fields that all groups share.
func withCommonSettings(domains []string, groups ...simulator.Group) []simulator.Group {
	for i := range groups {
		groups[i].Domains, groups[i].Slots = domains, slots
		groups[i].Floor, groups[i].Jitter = coldFloor, jitter
	}
	return groups
}

func domainNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("d%d", i+1))
	}
	return names
}
