package launcher

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/router"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

const (
	leasesSize    = 1024
	leasesPeriod  = 100 * time.Millisecond
	leaseDuration = 3 * time.Second
)

// leaseLoop is the duty that claims and grants leases on targets. It alone owns the state
// of the elector.
type leaseLoop struct {
	host   *Host
	inputs *queuer.Ring[leaseInput]
}

// leaseInput is a message of another host about leases or the roster.
type leaseInput struct {
	message wigeonspindle.Envelope
	reply   wigeonspindle.Reply
}

func newLeaseLoop(host *Host) *leaseLoop {
	return &leaseLoop{host: host, inputs: queuer.New[leaseInput](leasesSize)}
}

func (l *leaseLoop) run() {
	ticker := time.NewTicker(leasesPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.host.stop:
			return
		case <-l.inputs.C():
		case <-ticker.C:
			l.tick(l.host.Clock.Now())
		}
	}
}

func (l *leaseLoop) tick(now time.Time) {
	config := l.host.holder.Config()
	if config == nil {
		return
	}
	var hosts []wigeonspindle.Host
	for _, member := range l.host.view.Load().Members {
		if member.Condition == wigeonspindle.Live {
			hosts = append(hosts, member.Host)
		}
	}
	ownership := &wigeonspindle.Ownership{Owners: make(map[string]wigeonspindle.Host)}
	for _, index := range config.Indexes {
		for _, target := range index.Targets {
			owner, ok := router.Owner(target, hosts)
			if !ok {
				continue
			}
			ownership.Owners[target.Name] = owner
			if owner.Name == l.host.self.Name {
				lease := &targetLease{target: target, until: now.Add(leaseDuration)}
				l.host.targetLoop(target.Name).inputs.Offer(targetInput{lease: lease})
			}
		}
	}
	l.host.ownership.Store(ownership)
}
