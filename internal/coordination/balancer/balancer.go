// Package balancer selects the hosts that callers connect to and the hosts that relay the
// registry.
package balancer

import (
	"wigeonspindle.example/wigeonspindle"
)

// MaxAddresses bounds the addresses in one answer to a caller.
const MaxAddresses = 16

// Addresses returns the addresses for a caller in a failure domain, in order of preference.
// Hosts of the caller's domain come first. The offset rotates the hosts of the domain and the
// others, so that successive callers start at different hosts. Hosts that are silent, leaving
// or out of service are returned only when no better host is left.
func Addresses(view *wigeonspindle.MembershipView, placement *wigeonspindle.Placement, domain string, offset uint64) []wigeonspindle.Address {
	tiers := make([][]wigeonspindle.Host, tierCount)
	for _, member := range view.Members {
		if t := tier(member, placement); t < tierCount {
			tiers[t] = append(tiers[t], member.Host)
		}
	}
	for _, hosts := range tiers {
		if len(hosts) > 0 {
			return orderAddresses(hosts, domain, offset)
		}
	}
	return nil
}

// tierCount is the number of tiers of hosts. A tier is used only when all earlier ones are
// empty; a host of tier tierCount is never used.
const tierCount = 4

func tier(member wigeonspindle.Member, placement *wigeonspindle.Placement) int {
	out := placement != nil && placement.OutDomains[member.Host.Domain]
	switch member.Condition {
	case wigeonspindle.ConditionLive:
		if out {
			return 2
		}
		return 0
	case wigeonspindle.ConditionPartitioned, wigeonspindle.ConditionSuspect:
		if out {
			return 3
		}
		return 1
	case wigeonspindle.ConditionLeaving:
		return 3
	}
	return tierCount
}

func orderAddresses(hosts []wigeonspindle.Host, domain string, offset uint64) []wigeonspindle.Address {
	var local, remote []wigeonspindle.Host
	for _, host := range hosts {
		if host.Domain == domain {
			local = append(local, host)
		} else {
			remote = append(remote, host)
		}
	}
	var addresses []wigeonspindle.Address
	for _, group := range [][]wigeonspindle.Host{local, remote} {
		for i := range group {
			host := group[(offset+uint64(i))%uint64(len(group))]
			if len(addresses) < MaxAddresses {
				addresses = append(addresses, wigeonspindle.Address{
					Address: host.CallerAddress, Domain: host.Domain, Incarnation: host.Incarnation,
				})
			}
		}
	}
	return addresses
}
