package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

// minRelays is the minimum number of relays. When one is lost, the other hosts can still choose
// between two.
const minRelays = 3

// RegistryRelays returns the relays that a host can follow, the preferred one first, so that
// the registry does not have to serve every host, and whether the host is a relay itself. The relays
// are the hosts of the greatest capacity in each failure domain: one in each, or more when there are
// fewer than minRelays domains. Each escalation doubles them, for a registry that turns away the
// usual ones while it serves other hosts. A host that is not among the peers is not a relay.
func RegistryRelays(peers []wigeonspindle.Peer, self wigeonspindle.Peer, escalations int) (relays []wigeonspindle.Peer, isRelay bool) {
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(a, b wigeonspindle.Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	hostsByDomain := make(map[string]int)
	for _, peer := range ordered {
		hostsByDomain[peer.Domain]++
	}
	relaysPerDomain := (minRelays + len(hostsByDomain) - 1) / max(len(hostsByDomain), 1) << escalations
	relaysByDomain := make(map[string]int)
	for _, peer := range ordered {
		if relaysByDomain[peer.Domain] >= relaysPerDomain {
			continue
		}
		relaysByDomain[peer.Domain]++
		if peer.Name == self.Name {
			isRelay = true
			continue
		}
		relays = append(relays, peer)
	}
	// Relays of the own domain come first. The hash spreads the hosts of a domain over the relays
	// of the other domains.
	distance := func(peer wigeonspindle.Peer) uint64 {
		if peer.Domain == self.Domain {
			return 0
		}
		return 1 + xxhash.Sum64String(self.Name+" "+peer.Name)>>1
	}
	slices.SortStableFunc(relays, func(a, b wigeonspindle.Peer) int { return cmp.Compare(distance(a), distance(b)) })
	return relays, isRelay
}
