package selector

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// maxServiceRatio bounds a sample of the service time, as a multiple of the average, so that the pause of a replica
// does not count as a slow replica with a long queue.
const maxServiceRatio = 2

// recordLoad records the load in a response. The requests that waited at the replica tell how much of the
// latency was spent in its queue.
func (st *replicaStats) recordLoad(response *wigeonspindle.Response, took time.Duration, now time.Time) {
	st.load, st.loadReportedAt, st.sentSinceReport = response.Load, now, 0
	if !response.Success() {
		return
	}
	sample := time.Duration(float64(took) / (1 + float64(response.Load.Waiting)/float64(response.Load.Slots)))
	if st.serviceTime == 0 {
		st.serviceTime = sample
		return
	}
	sample = min(sample, maxServiceRatio*st.serviceTime)
	st.serviceTime += time.Duration(averageWeight * float64(sample-st.serviceTime))
}

// QueueWait returns the expected time that a call spends in the queue of a replica of the pool: of the usable
// replica that is expected to answer first. It is 0 if that one has not reported its load lately.
func (s *Selector) QueueWait(deployment *wigeonspindle.DeploymentState, pool string, expected time.Duration, now time.Time) time.Duration {
	wait, earliest, found := time.Duration(0), time.Duration(0), false
	for _, replica := range deployment.Replicas[pool] {
		stats := s.statsFor(replica.ID, now)
		if !s.isUsable(deployment, replica, stats, expected, now) {
			continue
		}
		queued := stats.queueWait(now)
		if answered := queued + stats.serviceTime; !found || answered < earliest {
			wait, earliest, found = queued, answered, true
		}
	}
	return wait
}

// queueWait returns the expected time in the queue of the replica.
func (st *replicaStats) queueWait(now time.Time) time.Duration {
	if !st.load.Known || now.Sub(st.loadReportedAt) >= maxLoadAge {
		return 0
	}
	queue := st.load.Running + st.load.Waiting + st.sentSinceReport + 1 - st.load.Slots
	return time.Duration(max(queue, 0)) * st.serviceTime / time.Duration(st.load.Slots)
}
