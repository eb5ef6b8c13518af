package selector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// rateFraction is the fraction of the warm-up rate or the request limit of a replica that the
	// hosts use together. The rest is a margin for hosts that do not know of all other hosts.
	rateFraction = 0.9
	// standbyRateFraction is the part of it for the hosts to which callers are not directed.
	standbyRateFraction = 0.1
	// coldTurnDuration is the length of the turn in which a host may send a call to a cold
	// replica. The turns of all hosts that overlap with any one second number 1.5 times the rate.
	coldTurnDuration = 500 * time.Millisecond
	// minSpacingFraction is the least time between two calls of a host, as a fraction of the time
	// between two turns. When hosts leave or return, all turns move, and a host could have its next turn
	// at once.
	minSpacingFraction = 0.8
	// limitWindow is the time over which the request limit of a replica holds.
	limitWindow = 4 * time.Second
	// limitTurnDuration is the length of a turn at a replica that states a request limit. The turns
	// that overlap with any limitWindow number 1.5 times the limit.
	limitTurnDuration = 2 * time.Second
	// minLimit replaces a lower request limit, in requests a second. Without any request, no host would
	// learn that the limit has ended.
	minLimit = 0.1
)

// rateAllows reports whether the rates that a replica bears permit one more call.
func (s *Selector) rateAllows(deployment *wigeonspindle.DeploymentState, replica *wigeonspindle.Replica, stats *replicaStats, now time.Time) bool {
	if now.Before(replica.WarmAt) {
		rate := deployment.Catalog.Pools[replica.Pool].WarmupRate
		if rate > 0 && !s.hasTurn(deployment, stats, rateFraction*rate, 0, coldTurnDuration, now) {
			return false
		}
	}
	if !stats.limit.Known {
		return true
	}
	replicas := deployment.Replicas[replica.Pool]
	phase := float64(slices.Index(replicas, replica)) / float64(len(replicas))
	return s.hasTurn(deployment, stats, rateFraction*max(stats.lowestLimit(now), minLimit), phase, limitTurnDuration, now)
}

// recordLimit records the limit in a response. A limit that rises counts after limitWindow, because
// the calls of that time are measured by the lower one.
func (st *replicaStats) recordLimit(limit wigeonspindle.RequestLimit, now time.Time) {
	if st.limit.Known && limit.Known && limit.PerSecond > st.limit.PerSecond {
		st.lowerLimit, st.lowerUntil = st.lowestLimit(now), now.Add(limitWindow)
	}
	st.limit = limit
}

// lowestLimit returns the lowest limit of the last limitWindow, in requests a second.
func (st *replicaStats) lowestLimit(now time.Time) float64 {
	if now.Before(st.lowerUntil) {
		return min(st.lowerLimit, st.limit.PerSecond)
	}
	return st.limit.PerSecond
}

// hasTurn reports whether this host may send a call to a replica that takes a rate of calls per
// second. The hosts do not coordinate: each has a recurring turn that follows from its rank and the
// wall clock, and sends at most one call in it. Permits that accumulate while there are no calls
// would let all hosts send at once. The phase, a fraction of the time between two turns, gives a
// host its turns at the replicas of a pool one after the other.
func (s *Selector) hasTurn(deployment *wigeonspindle.DeploymentState, stats *replicaStats, rate, phase float64, turn time.Duration, now time.Time) bool {
	share := s.rateShare(deployment)
	period := time.Duration(float64(share.hosts) / (share.fraction * rate) * float64(time.Second))
	if period <= turn {
		return now.Sub(stats.sentAt) >= period
	}
	offset := time.Duration(share.rank)*(period/time.Duration(share.hosts)) + time.Duration(phase*float64(period))
	sinceTurn := time.Duration(now.UnixNano()-int64(offset)) % period
	spacing := max(turn, time.Duration(minSpacingFraction*float64(period)))
	return sinceTurn < turn && now.Sub(stats.sentAt) >= spacing
}

// rateShare is the place of a host among those that share a rate.
type rateShare struct {
	fraction float64 // fraction is the part of the rate that these hosts use together.
	hosts    int
	rank     int // rank is the index of the host among them.
}

// rateShare returns the share of this host. The standby hosts get few calls but may be many, so they
// have a share of their own; a host that is not listed takes the place of a serving one.
func (s *Selector) rateShare(deployment *wigeonspindle.DeploymentState) rateShare {
	if s.sharedDeployment == deployment {
		return s.cachedShare
	}
	isSelf := func(peer wigeonspindle.Peer) bool { return peer.Name == s.Host }
	share := rateShare{fraction: 1, hosts: max(len(deployment.ServingPeers), 1), rank: slices.IndexFunc(deployment.ServingPeers, isSelf)}
	standby := len(deployment.Peers) - len(deployment.ServingPeers)
	switch {
	case standby <= 0:
	case share.rank < 0 && slices.ContainsFunc(deployment.Peers, isSelf):
		share.fraction, share.hosts = standbyRateFraction, standby
	default:
		share.fraction = 1 - standbyRateFraction
	}
	if share.rank < 0 {
		share.rank = int(xxhash.Sum64String(s.Host) % uint64(share.hosts))
	}
	s.sharedDeployment, s.cachedShare = deployment, share
	return share
}
