// Package selector chooses the replica of a pool with the lowest expected latency. It uses what
// this host has observed of each replica: answers, failures, sends without an answer, and the
// load that replicas report.
package selector

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/noticer"
)

// Parameters of the choice.
const (
	// averageWeight is the weight of a new sample in the moving averages. A replica that becomes
	// slow is detected after two or three answers.
	averageWeight = 0.3
	// averageHalfLife is the half-life with which bad averages return to normal, so that an
	// avoided replica is tried again.
	averageHalfLife = 1500 * time.Millisecond
	// maxLatencyRatio bounds one sample, as a multiple of the expected latency, so that a single
	// pause does not dominate the average of a replica.
	maxLatencyRatio = 8.0
	// initialBackoff is how long a replica gets no calls after a connection failure. Each
	// further failure in a row doubles it up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// wrongReplicaPeriod is how long a replica is left out after another replica answered at its
	// address. Its entry is removed after three missed heartbeats.
	wrongReplicaPeriod = 10 * time.Second
	// silenceFactor is the time without any answer to a send, as a multiple of the expected
	// latency, after which a replica counts as silent; minSilence is the lower bound of that
	// time. Pauses of replicas are shorter.
	silenceFactor = 10
	minSilence    = 400 * time.Millisecond
	// initialProbeInterval is the time between two probes of a silent replica. Each unanswered
	// probe doubles it up to maxProbeInterval.
	initialProbeInterval = 200 * time.Millisecond
	maxProbeInterval     = 2 * time.Second
	// crossDomainPenalty is the cost of another failure domain. It stands for the round trip and
	// for the price of traffic between domains.
	crossDomainPenalty = 2 * time.Millisecond
	// coldLatencyFactor is how much slower a cold replica is expected to be.
	coldLatencyFactor = 2.5
	// failurePenalty is the cost of a failure, as a multiple of the expected latency. It is
	// weighted by the failure rate of the replica.
	failurePenalty = 8.0
	// stalledPeriod is how long a replica that does not accept a connection costs as much as one that
	// fails all calls. It is shorter than the time in which a crashed replica is back.
	stalledPeriod = 500 * time.Millisecond
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = 150 * time.Millisecond
	// costJitter is the largest random addition to a cost, as a fraction of it, so that hosts
	// with the same observations choose different replicas.
	costJitter = 0.15
)

// Selector holds what a host has observed of the replicas. It is not safe for concurrent use.
type Selector struct {
	Host   string // Host is the name of this host among the peers of the deployment.
	Domain string // Domain is the failure domain of this host; replicas of other domains cost more.
	Random *rand.Rand
	// Noticer holds what replicas say about themselves.
	Noticer noticer.Noticer

	stats            map[string]*replicaStats
	sharedDeployment *wigeonspindle.DeploymentState // sharedDeployment is the state for which cachedShare was computed.
	cachedShare      rateShare
}

// replicaStats holds the observations of one replica.
type replicaStats struct {
	pendingSends        []time.Time // pendingSends holds the times of the sends without an answer, oldest first.
	latencyRatio        float64     // latencyRatio is the moving average of observed to expected latency.
	failureRate         float64     // failureRate is the moving average of the fraction of failed sends.
	decayedAt           time.Time
	consecutiveFailures int       // consecutiveFailures counts connection failures in a row.
	blockedUntil        time.Time // blockedUntil is when the replica may be tried again.
	// replacedAt is when another replica answered at the address of this one, and
	// replacedStartMs is the start time of the run that had the address before.
	replacedStartMs  int64
	replacedAt       time.Time
	answeredAt       time.Time
	stalledUntil     time.Time // stalledUntil is the end of the time in which the replica is avoided.
	silent           bool      // silent is set when sends are overdue, until the replica answers.
	unansweredProbes int
	probedAt         time.Time
	load             wigeonspindle.TargetLoad
	loadReportedAt   time.Time
	sentSinceReport  int                        // sentSinceReport counts the sends after the last load report.
	serviceTime      time.Duration              // serviceTime is the moving average of the latency without the time in the replica's queue.
	limit            wigeonspindle.RequestLimit // limit is the one in the last response.
	// lowerLimit is the limit before it rose, which holds until lowerUntil.
	lowerLimit float64
	lowerUntil time.Time
	// sentAt is when the last call was sent while the replica was cold or limited, and previousSentAt
	// when the one before it was.
	sentAt, previousSentAt time.Time
}

// Pick returns the replica of a pool with the lowest cost for a call with the expected latency.
// It skips the replicas already tried and reports false when none is usable. Replicas that leave are
// chosen only if no other is usable.
func (s *Selector) Pick(deployment *wigeonspindle.DeploymentState, pool string, tried []string, expected time.Duration, now time.Time) (*wigeonspindle.Replica, bool) {
	var best *wigeonspindle.Replica
	lowest, bestLeaves := math.Inf(1), false
	for _, replica := range deployment.Replicas[pool] {
		stats := s.statsFor(replica.ID, now)
		if slices.Contains(tried, replica.ID) || !s.isUsable(deployment, replica, stats, expected, now) {
			continue
		}
		leaves := s.Noticer.Leaving(replica)
		if best != nil && leaves && !bestLeaves {
			continue
		}
		if cost := s.cost(replica, stats, expected, now); cost < lowest || bestLeaves && !leaves {
			best, lowest, bestLeaves = replica, cost, leaves
		}
	}
	return best, best != nil
}

// HasUsableReplica reports whether some replica of the pool could take a call now.
func (s *Selector) HasUsableReplica(deployment *wigeonspindle.DeploymentState, pool string, expected time.Duration, now time.Time) bool {
	for _, replica := range deployment.Replicas[pool] {
		if s.isUsable(deployment, replica, s.statsFor(replica.ID, now), expected, now) {
			return true
		}
	}
	return false
}

// isUsable reports whether a replica could take a call now.
func (s *Selector) isUsable(deployment *wigeonspindle.DeploymentState, replica *wigeonspindle.Replica, stats *replicaStats, expected time.Duration, now time.Time) bool {
	return replica.AcceptsWork(deployment.OutDomains) && s.Noticer.Accepts(replica, len(stats.pendingSends), now) &&
		stats.usable(replica, expected, now) && s.rateAllows(deployment, replica, stats, now)
}

// AvailableAt returns the earliest time at which a replica of the pool may take a call, by what the
// replicas have said and by their connection failures; ok is false if that is not known for any.
func (s *Selector) AvailableAt(deployment *wigeonspindle.DeploymentState, pool string, now time.Time) (at time.Time, ok bool) {
	for _, replica := range deployment.Replicas[pool] {
		available, accepts := s.Noticer.AvailableAt(replica, now)
		if !accepts || !replica.AcceptsWork(deployment.OutDomains) {
			continue
		}
		if stats, known := s.stats[replica.ID]; known && stats.blockedUntil.After(available) {
			available = stats.blockedUntil
		}
		if !ok || available.Before(at) {
			at, ok = available, true
		}
	}
	return at, ok
}

// RecordSend records a send. It reports whether the send probes a silent replica: a probe needs a
// new connection, because the open connections may be dead while the replica is not.
func (s *Selector) RecordSend(replica *wigeonspindle.Replica, now time.Time) (probe bool) {
	stats := s.statsFor(replica.ID, now)
	stats.pendingSends = append(stats.pendingSends, now)
	stats.sentSinceReport++
	if stats.silent {
		stats.unansweredProbes++
		stats.probedAt = now
	}
	if stats.limit.Known || now.Before(replica.WarmAt) {
		stats.previousSentAt, stats.sentAt = stats.sentAt, now
	}
	return stats.silent
}

// RecordResult records the result of a send, given when it was sent and its expected latency. It reports
// whether the replica has said something new about itself.
func (s *Selector) RecordResult(replica *wigeonspindle.Replica, sent time.Time, expected time.Duration, exchange wigeonspindle.Exchange, now time.Time) (noticed bool) {
	stats := s.statsFor(replica.ID, now)
	stats.removePending(sent)
	stats.decayAverages(now)
	if response := exchange.Response; response != nil && response.Load.Known {
		stats.recordLoad(response, exchange.Took, now)
	}
	if exchange.Response == nil {
		if exchange.Code != wigeonspindle.CodeCancelled && exchange.Code != wigeonspindle.CodeOverloaded {
			stats.backOff(now)
		}
		return false
	}
	if exchange.Response.WrongReplica {
		stats.replacedStartMs, stats.replacedAt = replica.StartUnixMs, now
		return false
	}
	noticed = s.Noticer.Record(replica, exchange.Response, now)
	stats.recordLimit(exchange.Response.Limit, now)
	stats.consecutiveFailures, stats.blockedUntil = 0, time.Time{}
	stats.answeredAt, stats.silent, stats.unansweredProbes, stats.stalledUntil = now, false, 0, time.Time{}
	failed := 0.0
	if exchange.Response.Refused || exchange.Response.Status >= 500 {
		failed = 1
	}
	stats.failureRate += averageWeight * (failed - stats.failureRate)
	if failed == 0 {
		ratio := min(float64(exchange.Took)/float64(max(expected, time.Millisecond)), maxLatencyRatio)
		stats.latencyRatio += averageWeight * (ratio - stats.latencyRatio)
	}
	return noticed
}

// Limit returns the limit that a replica stated in its last response.
func (s *Selector) Limit(id string) wigeonspindle.RequestLimit {
	if stats, ok := s.stats[id]; ok {
		return stats.limit
	}
	return wigeonspindle.RequestLimit{}
}

// RecordUnreachable records that a replica accepts no connections.
func (s *Selector) RecordUnreachable(replica *wigeonspindle.Replica, now time.Time) {
	s.statsFor(replica.ID, now).backOff(now)
}

// RecordStalled records that a replica has not accepted a connection for some time.
func (s *Selector) RecordStalled(replica *wigeonspindle.Replica, now time.Time) {
	s.statsFor(replica.ID, now).stalledUntil = now.Add(stalledPeriod)
}

// DiscardSend removes a send that was recorded but not made.
func (s *Selector) DiscardSend(id string, sent time.Time) {
	if stats, ok := s.stats[id]; ok {
		stats.removePending(sent)
		if stats.sentAt.Equal(sent) {
			stats.sentAt = stats.previousSentAt
		}
	}
}

// Retain drops the statistics of replicas that are not known and have no send in flight.
func (s *Selector) Retain(known map[string]bool, now time.Time) {
	s.Noticer.Retain(known, now)
	for id, stats := range s.stats {
		if !known[id] && len(stats.pendingSends) == 0 {
			delete(s.stats, id)
		}
	}
}

// cost returns the expected time until the answer in nanoseconds, plus penalties for failures
// and for another failure domain.
func (s *Selector) cost(replica *wigeonspindle.Replica, stats *replicaStats, expected time.Duration, now time.Time) float64 {
	stats.decayAverages(now)
	slots := float64(max(replica.Slots, 1))
	queue := float64(len(stats.pendingSends))
	if stats.load.Known && now.Sub(stats.loadReportedAt) < maxLoadAge {
		queue = max(queue, float64(stats.load.Waiting+stats.load.Running))
	}
	latencyRatio := max(stats.latencyRatio, 0.5)
	if age := stats.oldestPendingAge(now); age > expected {
		latencyRatio = max(latencyRatio, float64(age)/float64(expected))
	}
	if now.Before(replica.WarmAt) {
		latencyRatio *= coldLatencyFactor
	}
	// Requests in slots slow a call down a little; requests beyond them make it queue.
	queueing := 0.3*queue/slots + max(queue+1-slots, 0)/slots
	failureRate := stats.failureRate
	if now.Before(stats.stalledUntil) {
		failureRate = 1
	}
	cost := float64(expected) * (latencyRatio*(1+queueing) + failurePenalty*failureRate)
	if replica.Domain != s.Domain {
		cost += float64(crossDomainPenalty)
	}
	return cost * (1 + costJitter*s.Random.Float64())
}

func (s *Selector) statsFor(id string, now time.Time) *replicaStats {
	if s.stats == nil {
		s.stats = make(map[string]*replicaStats)
	}
	stats, ok := s.stats[id]
	if !ok {
		stats = &replicaStats{latencyRatio: 1, decayedAt: now}
		s.stats[id] = stats
	}
	return stats
}

// usable reports whether the replica still has its address, is not in back-off after failures,
// and is either not silent or due for a probe.
func (st *replicaStats) usable(replica *wigeonspindle.Replica, expected time.Duration, now time.Time) bool {
	if !st.replacedAt.IsZero() && st.replacedStartMs == replica.StartUnixMs && now.Sub(st.replacedAt) < wrongReplicaPeriod {
		return false
	}
	if now.Before(st.blockedUntil) {
		return false
	}
	if len(st.pendingSends) > 0 && min(st.oldestPendingAge(now), now.Sub(st.answeredAt)) >= max(silenceFactor*expected, minSilence) {
		st.silent = true
	}
	return !st.silent || st.unansweredProbes == 0 || now.Sub(st.probedAt) >= min(initialProbeInterval<<min(st.unansweredProbes-1, 8), maxProbeInterval)
}

// oldestPendingAge returns the age of the oldest send without an answer, or 0.
func (st *replicaStats) oldestPendingAge(now time.Time) time.Duration {
	if len(st.pendingSends) == 0 {
		return 0
	}
	return now.Sub(st.pendingSends[0])
}

func (st *replicaStats) removePending(sent time.Time) {
	for i, at := range st.pendingSends {
		if at.Equal(sent) {
			st.pendingSends = append(st.pendingSends[:i], st.pendingSends[i+1:]...)
			return
		}
	}
}

func (st *replicaStats) backOff(now time.Time) {
	period := min(initialBackoff<<min(st.consecutiveFailures, 8), maxBackoff)
	st.consecutiveFailures++
	st.blockedUntil = now.Add(period)
}

// decayAverages moves bad averages towards normal by the time since the last decay.
func (st *replicaStats) decayAverages(now time.Time) {
	elapsed := now.Sub(st.decayedAt)
	if elapsed <= 0 {
		return
	}
	st.decayedAt = now
	decay := math.Exp2(-float64(elapsed) / float64(averageHalfLife))
	if st.latencyRatio > 1 {
		st.latencyRatio = 1 + (st.latencyRatio-1)*decay
	}
	st.failureRate *= decay
}
