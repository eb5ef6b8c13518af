package dispatcher

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

// reached notes whether a replica accepted a connection.
func (d *Dispatcher) reached(replica *wigeonspindle.Replica, accepted bool) {
	now := d.Clock.Now()
	d.suspect(d.Gatherer.Reached(replica, accepted, now), now)
}

// suspect logs what became known about calls that crash replicas and shares it with the other
// hosts: at once when it is certain, and otherwise if it still holds after a while.
func (d *Dispatcher) suspect(suspicions []wigeonspindle.Suspicion, now time.Time) {
	for _, suspicion := range suspicions {
		d.Logger.Warn("suspicion", "fingerprint", suspicion.Name(), "replica", suspicion.Target, "points", suspicion.Points,
			"cleared", suspicion.Cleared, "limit", quarantiner.Limit)
		if suspicion.Cleared || suspicion.Points >= quarantiner.Limit {
			d.Report(suspicion)
			continue
		}
		d.timers.Once(now.Add(shareDelay), func(now time.Time) {
			if d.Gatherer.Suspected(suspicion, now) {
				d.Report(suspicion)
			}
		})
	}
}
