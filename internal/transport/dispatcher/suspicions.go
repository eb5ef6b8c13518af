package dispatcher

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
	"wigeonspindle.example/wigeonspindle/internal/transport/exchanger"
)

const (
	// reportStagger is the time between the reports of two hosts of what all of them may report: what the registry lacks
	// since it came back from a copy, trials, and what their answers refute. Hosts that find it done by then report nothing.
	reportStagger = 50 * time.Millisecond
	// maxReportStagger bounds that time for large fleets: the hosts that know it may be replaced.
	maxReportStagger = time.Second
	// unlistedReportInterval is the least time between two reports of one host, in which it learns that the
	// registry holds what it has reported.
	unlistedReportInterval = 2 * time.Second
)

// handleDial records whether a replica accepted a connection that was dialled at a given time; err is nil if it did.
func (d *Dispatcher) handleDial(replica *wigeonspindle.Replica, err error, dialled time.Time) {
	now := d.Clock.Now()
	if err != nil {
		d.logUnreachable(replica, dialled, now, err)
	} else {
		delete(d.unreachable, replica.ID)
	}
	d.reportSuspicions(d.Gatherer.RecordReachability(replica, exchanger.ReachabilityOf(err), dialled, now), now)
}

// handleIdleClosed records that a replica has closed an idle connection.
func (d *Dispatcher) handleIdleClosed(replica *wigeonspindle.Replica) {
	d.Gatherer.RecordIdleClosed(replica, d.Clock.Now())
}

// reportSuspicions logs suspicions about calls that crash replicas and reports them to the other
// hosts. A call that reaches the threshold is reported with all evidence at once; otherwise a
// suspicion waits for suspicionReportDelay and is reported if it still holds. A withdrawal is reported
// if the other hosts know of the suspicion.
func (d *Dispatcher) reportSuspicions(suspicions []wigeonspindle.Suspicion, now time.Time) {
	quarantine := d.Gatherer.Correlator.Quarantiner
	for _, suspicion := range suspicions {
		score := quarantine.Score(suspicion.Fingerprint, now)
		d.Logger.Warn("updated the suspicion that a call crashes replicas", "fingerprint", suspicion.FingerprintName(), "replica", suspicion.Target,
			"crash", suspicion.Crash, "crash_score", suspicion.Score, "cleared", suspicion.Cleared, "score", score, "quarantine_score", quarantiner.ScoreThreshold)
		switch {
		case suspicion.Cleared:
			if d.isShared(suspicion) {
				d.ReportSuspicion(suspicion)
			}
		case score >= quarantiner.ScoreThreshold:
			for _, evidence := range quarantine.SuspicionsOf(suspicion.Fingerprint, now) {
				if !d.isShared(evidence) {
					d.ReportSuspicion(evidence)
				}
			}
		default:
			d.timers.AddOnce(now.Add(suspicionReportDelay), func(now time.Time) {
				if quarantine.Holds(suspicion, now) && !d.isShared(suspicion) {
					d.ReportSuspicion(suspicion)
				}
			})
		}
	}
}

// isShared reports whether the registry holds a suspicion.
func (d *Dispatcher) isShared(suspicion wigeonspindle.Suspicion) bool {
	return slices.ContainsFunc(d.deployment.Suspicions, func(known wigeonspindle.Suspicion) bool {
		return known.Name() == suspicion.Name()
	})
}

// removeExpiredSuspicions removes expired suspicions from the registry. Of all hosts, the first one in
// the deployment does so.
func (d *Dispatcher) removeExpiredSuspicions(deployment *wigeonspindle.DeploymentState, now time.Time) {
	if len(deployment.ServingPeers) == 0 || deployment.ServingPeers[0].Name != d.Self.Name {
		return
	}
	for _, suspicion := range deployment.Suspicions {
		if !now.Before(suspicion.Expires) {
			suspicion.Cleared = true
			d.ReportSuspicion(suspicion)
		}
	}
}

// scheduleUnlistedReports reports the suspicions again that the registry lacks since it came back from a copy: the host
// that reported them may be gone, and hosts that start later know only what the registry holds.
func (d *Dispatcher) scheduleUnlistedReports(now time.Time) {
	if len(d.deployment.UnlistedSuspicions) == 0 || d.unlistedReportDue {
		return
	}
	at := now.Add(d.reportDelay())
	if next := d.unlistedReportedAt.Add(unlistedReportInterval); at.Before(next) {
		at = next
	}
	d.unlistedReportDue = true
	d.timers.AddOnce(at, func(now time.Time) {
		d.unlistedReportDue, d.unlistedReportedAt = false, now
		for _, suspicion := range d.deployment.UnlistedSuspicions {
			d.ReportSuspicion(suspicion)
		}
	})
}

// reportDelay returns the time for which this host waits, so that another one may report first.
func (d *Dispatcher) reportDelay() time.Duration {
	rank := slices.IndexFunc(d.deployment.ServingPeers, func(peer wigeonspindle.Peer) bool { return peer.Name == d.Self.Name })
	if rank < 0 {
		rank = len(d.deployment.ServingPeers)
	}
	return min(time.Duration(rank)*reportStagger, maxReportStagger)
}

// claimTrials claims trials of quarantined calls, unless another host does so first.
func (d *Dispatcher) claimTrials(claims []wigeonspindle.Suspicion, now time.Time) {
	for _, claim := range claims {
		d.timers.AddOnce(now.Add(d.reportDelay()), func(time.Time) {
			if !d.isShared(claim) {
				d.Logger.Info("claiming a trial of a quarantined call", "fingerprint", claim.FingerprintName(), "trial", claim.Crash, "claim", claim.Target)
				d.ReportSuspicion(claim)
			}
		})
	}
}

// withdrawRefuted withdraws suspicions that answers at this host refute, unless another host does so first.
func (d *Dispatcher) withdrawRefuted(refuted []wigeonspindle.Suspicion, now time.Time) {
	for _, suspicion := range refuted {
		d.timers.AddOnce(now.Add(d.reportDelay()), func(time.Time) {
			if d.isShared(suspicion) {
				d.Logger.Info("withdrawing the suspicion of another host: the pool has answered such calls", "fingerprint", suspicion.FingerprintName(),
					"crash", suspicion.Crash, "pool", suspicion.Pool)
				d.ReportSuspicion(suspicion)
			}
		})
	}
}
