package balancer

import (
	"cmp"
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// capacityShare is the part of the largest capacity from which a host serves calls while
	// enough such hosts live. A weaker host needs several times as long for a wide query.
	capacityShare = 0.5
	// leastServing and leastShare are the least number of serving hosts, and their least
	// share of all hosts, so that the loss of a few serving hosts leaves room.
	leastServing = 6
	leastShare   = 1.0 / 24
)

// Serving returns the hosts to which callers are sent, the strongest first. The other hosts
// stand by: they know the same and serve what reaches them, but keep no connections open.
func Serving(peers []wigeonspindle.Peer) []wigeonspindle.Peer {
	ordered := slices.Clone(peers)
	slices.SortStableFunc(ordered, func(a, b wigeonspindle.Peer) int { return cmp.Compare(b.Capacity, a.Capacity) })
	least := max(leastServing, int(leastShare*float64(len(peers))))
	for i, peer := range ordered {
		if i >= least && peer.Capacity < capacityShare*ordered[0].Capacity && peer.Capacity < ordered[least-1].Capacity {
			return ordered[:i]
		}
	}
	return ordered
}
