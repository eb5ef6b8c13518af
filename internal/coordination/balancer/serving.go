package balancer

import (
	"cmp"
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// minRelativeCapacity is the share of the largest capacity that a host needs to serve calls
	// while enough such hosts are live. Weaker hosts take several times as long for a query of
	// many shards.
	minRelativeCapacity = 0.5
	// minServingHosts is the minimum number of serving hosts and minTotalCapacityShare their
	// minimum share of the total capacity. Both leave room for the loss of a few hosts.
	minServingHosts       = 6
	minTotalCapacityShare = 0.25
)

// ServingHosts returns the hosts that callers are sent to, in descending order of capacity. The
// other hosts stand by: they have the same state and serve the calls that reach them, but keep
// no connections open.
func ServingHosts(peers []wigeonspindle.Peer) []wigeonspindle.Peer {
	ordered := slices.Clone(peers)
	slices.SortStableFunc(ordered, func(a, b wigeonspindle.Peer) int { return cmp.Compare(b.Capacity, a.Capacity) })
	total, selected := 0.0, 0.0
	for _, peer := range peers {
		total += peer.Capacity
	}
	for i, peer := range ordered {
		strong := peer.Capacity >= minRelativeCapacity*ordered[0].Capacity
		if !strong && i >= minServingHosts && selected >= minTotalCapacityShare*total {
			return ordered[:i]
		}
		selected += peer.Capacity
	}
	return ordered
}

// Serves reports whether a host serves calls: whether callers are directed to it, or would be if its entry were
// listed. The entry of a host that starts, stops or has been cut off for a time is not, but callers may still know
// its address.
func Serves(deployment *wigeonspindle.DeploymentState, self wigeonspindle.Peer) bool {
	isSelf := func(peer wigeonspindle.Peer) bool { return peer.Name == self.Name }
	if slices.ContainsFunc(deployment.ServingPeers, isSelf) {
		return true
	}
	if slices.ContainsFunc(deployment.Peers, isSelf) {
		return false
	}
	return slices.ContainsFunc(ServingHosts(append(slices.Clone(deployment.Peers), self)), isSelf)
}
