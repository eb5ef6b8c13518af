// Package router chooses replicas and predicts the owners of targets.
package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

// Rank orders hosts by their claim to a target: hosts of the target's failure domain
// first, then by rendezvous hash. Every host computes the same order from the same hosts.
func Rank(target wigeonspindle.Target, hosts []wigeonspindle.Host) []wigeonspindle.Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b wigeonspindle.Host) int {
		if near := cmp.Compare(distance(target, a), distance(target, b)); near != 0 {
			return near
		}
		if weight := cmp.Compare(weight(target, b), weight(target, a)); weight != 0 {
			return weight
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return ranked
}

func distance(target wigeonspindle.Target, host wigeonspindle.Host) int {
	if target.Domain == host.Domain {
		return 0
	}
	return 1
}

func weight(target wigeonspindle.Target, host wigeonspindle.Host) uint64 {
	return xxhash.Sum64String(target.Name + "\x00" + host.Name)
}

// Owner returns the preferred owner of a target among the hosts that may own targets.
func Owner(target wigeonspindle.Target, hosts []wigeonspindle.Host) (wigeonspindle.Host, bool) {
	if len(hosts) == 0 {
		return wigeonspindle.Host{}, false
	}
	return Rank(target, hosts)[0], true
}

// Picker chooses replicas for the attempts of queries.
type Picker struct {
	next uint64
}

// Pick returns a replica of the shard that was not tried yet.
func (p *Picker) Pick(index wigeonspindle.Index, _, shard string, tried []string) (wigeonspindle.Target, bool) {
	var candidates []wigeonspindle.Target
	for _, target := range index.Targets {
		if !target.Leaving && slices.Contains(target.Shards, shard) && !slices.Contains(tried, target.Name) {
			candidates = append(candidates, target)
		}
	}
	if len(candidates) == 0 {
		return wigeonspindle.Target{}, false
	}
	p.next++
	return candidates[p.next%uint64(len(candidates))], true
}
