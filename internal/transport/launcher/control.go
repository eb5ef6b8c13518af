package launcher

import (
	"context"
	"maps"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/detector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/relayer"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

const (
	controlInputsCapacity = 1024
	controlTickPeriod     = 100 * time.Millisecond
	// dialPeriod is the interval between decisions on which hosts to link to.
	dialPeriod = 500 * time.Millisecond
	// overrideWritePeriod is the interval between attempts to write overrides to the store.
	overrideWritePeriod = 2 * time.Second
	// drainReportLifetime is how long heartbeats repeat a target's report that it is draining.
	drainReportLifetime = 30 * time.Second
)

// controlLoop maintains the membership view, the configuration and the placement.
type controlLoop struct {
	host             *Host
	inputs           *queuer.Ring[controlInput]
	pendingOverrides *queuer.Ring[[]wigeonspindle.Override]

	detector          *detector.Detector
	relayer           *relayer.Relayer
	overrides         *relayer.Overrides
	drainReports      map[string]time.Time // drainReports holds the expiry of each draining target's report.
	stopWatch         context.CancelFunc   // stopWatch ends the store watch; nil while this host does not watch.
	lastDial          time.Time
	lastOverrideWrite time.Time
	domainOutSince    time.Time
}

// controlInput is a message from another host or an input from another goroutine of this one.
// Exactly one field besides reply is set.
type controlInput struct {
	message           wigeonspindle.Envelope
	reply             wigeonspindle.ReplyFunc
	listings          *[]wigeonspindle.ListedHost
	config            *wigeonspindle.Config
	override          *wigeonspindle.Override
	drainReport       *drainReport
	refusedConnection *wigeonspindle.Host // refusedConnection names a host whose address refused a connection.
	leaving           bool
}

type drainReport struct {
	target   string
	draining bool
}

func newControlLoop(host *Host) *controlLoop {
	return &controlLoop{
		host: host, inputs: queuer.New[controlInput](controlInputsCapacity),
		pendingOverrides: queuer.New[[]wigeonspindle.Override](1),
		detector:         &detector.Detector{Self: host.self},
		relayer:          &relayer.Relayer{Self: host.self, Started: host.Clock.Now()},
		overrides:        &relayer.Overrides{},
		drainReports:     make(map[string]time.Time),
	}
}

func (l *controlLoop) run() {
	ticker := time.NewTicker(controlTickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.host.stop:
			l.setWatching(false)
			return
		case input := <-l.inputs.C():
			l.handleInput(input, l.host.Clock.Now())
		case <-ticker.C:
			l.tick(l.host.Clock.Now())
		}
	}
}

func (l *controlLoop) handleInput(input controlInput, now time.Time) {
	switch {
	case input.listings != nil:
		l.detector.SetListedHosts(*input.listings)
		l.applyHostList(*input.listings, now)
	case input.config != nil:
		if l.host.holder.StoreIfNewer(input.config) {
			l.handleNewConfig()
		}
	case input.override != nil:
		l.applyOverride(*input.override, now)
	case input.drainReport != nil:
		delete(l.drainReports, input.drainReport.target)
		if input.drainReport.draining {
			l.drainReports[input.drainReport.target] = now.Add(drainReportLifetime)
		}
	case input.refusedConnection != nil:
		l.detector.ObserveRefusedConnection(input.refusedConnection.Name, input.refusedConnection.LinkAddress)
	case input.leaving:
		l.detector.MarkLeaving()
		l.tick(now)
	default:
		l.handleMessage(input.message, input.reply, now)
	}
}

func (l *controlLoop) handleMessage(message wigeonspindle.Envelope, reply wigeonspindle.ReplyFunc, now time.Time) {
	switch {
	case message.Heartbeat != nil:
		l.handleHeartbeat(*message.Heartbeat, message.Stamp, now)
	case message.Pull != nil:
		if delta, ok := l.host.holder.DeltaSince(message.Pull.After); ok && reply != nil {
			reply(wigeonspindle.Envelope{Delta: &delta})
		}
	case message.Delta != nil:
		l.relayer.PullAnswered()
		if l.host.holder.ApplyDelta(*message.Delta) {
			l.handleNewConfig()
		}
	case message.Override != nil:
		l.applyOverride(*message.Override, now)
	}
}

func (l *controlLoop) handleHeartbeat(heartbeat wigeonspindle.Heartbeat, stamp wigeonspindle.Timestamp, now time.Time) {
	if !l.detector.ObserveHeartbeat(heartbeat, stamp, now) {
		return
	}
	l.relayer.SetPeerRevision(heartbeat.Host.Name, heartbeat.Revision)
	for _, override := range heartbeat.Overrides {
		l.applyOverride(override, now)
	}
	l.overrides.MarkLeaving(heartbeat.LeavingTargets, now)
}

// applyOverride applies an override when it is the latest one of its domain.
func (l *controlLoop) applyOverride(override wigeonspindle.Override, now time.Time) {
	config := l.host.holder.Config()
	if !l.overrides.Merge(override, config, now) {
		return
	}
	detail := "brought back by override"
	if override.Out {
		detail = "taken out by override"
	}
	l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventDomain, Domain: override.Domain, Detail: detail})
	l.publishPlacement(now)
	l.publishHeartbeat(now)
}

// applyHostList records the targets that the platform's list marks as leaving. Targets are the
// entries without a link address.
func (l *controlLoop) applyHostList(listings []wigeonspindle.ListedHost, now time.Time) {
	var leaving []string
	for _, listing := range listings {
		if listing.Leaving && listing.LinkAddress == "" {
			leaving = append(leaving, listing.Name)
		}
	}
	l.overrides.MarkLeaving(leaving, now)
}

// handleNewConfig updates what depends on the configuration after it changed.
func (l *controlLoop) handleNewConfig() {
	l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventConfigured, Revision: l.host.holder.Revision()})
	now := l.host.Clock.Now()
	l.overrides.RemoveExpired(l.host.holder.Config(), now)
	l.publishPlacement(now)
	l.publishHeartbeat(now)
}

func (l *controlLoop) tick(now time.Time) {
	for _, change := range l.detector.Tick(now) {
		l.host.recorder.Record(wigeonspindle.Event{
			Kind: wigeonspindle.EventMember, Peer: change.Host.Name, Detail: string(change.Before) + " to " + string(change.After),
		})
	}
	view := l.detector.View(now)
	l.host.view.Store(view)
	l.relayer.RemoveAbsent(view)
	config := l.host.holder.Config()
	l.overrides.RemoveExpired(config, now)
	l.publishPlacement(now)
	l.publishHeartbeat(now)
	if now.Sub(l.lastDial) >= dialPeriod {
		l.lastDial = now
		l.host.linker.Connect(l.detector.HostsToDial(l.host.Settings.PeerAddresses, now))
	}
	if peer, ok := l.relayer.Pull(view, l.host.holder.Revision(), now); ok {
		l.host.send(peer, wigeonspindle.Envelope{Pull: &wigeonspindle.Pull{After: l.host.holder.Revision()}})
	}
	l.setWatching(l.relayer.ShouldWatch(view, now))
	if l.stopWatch != nil && now.Sub(l.lastOverrideWrite) >= overrideWritePeriod {
		l.lastOverrideWrite = now
		if pending := l.overrides.Pending(config); len(pending) > 0 {
			l.pendingOverrides.Offer(pending)
		}
	}
}

// publishPlacement publishes the domains and targets that receive no new work.
func (l *controlLoop) publishPlacement(now time.Time) {
	for target, until := range l.drainReports {
		if !now.Before(until) {
			delete(l.drainReports, target)
			continue
		}
		l.overrides.MarkLeaving([]string{target}, now)
	}
	placement := l.overrides.Placement(l.host.holder.Config())
	// Query loops reconfigure their picker whenever the pointer changes.
	if current := l.host.placement.Load(); !maps.Equal(current.OutDomains, placement.OutDomains) || !maps.Equal(current.LeavingTargets, placement.LeavingTargets) {
		l.host.placement.Store(placement)
	}
	if !placement.OutDomains[l.host.self.Domain] {
		l.domainOutSince = time.Time{}
	} else if l.domainOutSince.IsZero() {
		l.domainOutSince = now
	}
	// After AddressTTL the callers' address lists that name this host have expired.
	l.host.domainOut.Store(!l.domainOutSince.IsZero() && now.Sub(l.domainOutSince) > wigeonspindle.AddressTTL)
}

// publishHeartbeat publishes the content of the next heartbeats. It reports only the heard hosts
// and leaving targets that this host observed itself, so that a report ends when its cause ends.
func (l *controlLoop) publishHeartbeat(now time.Time) {
	content := &wigeonspindle.Heartbeat{HeardHosts: l.detector.RecentlyHeard(now), Overrides: l.overrides.List()}
	for target := range l.drainReports {
		content.LeavingTargets = append(content.LeavingTargets, target)
	}
	l.host.heartbeatContent.Store(content)
}

// setWatching starts or ends this host's watch of the store.
func (l *controlLoop) setWatching(watch bool) {
	switch {
	case watch && l.stopWatch == nil:
		ctx, cancel := context.WithCancel(l.host.ctx)
		l.stopWatch = cancel
		l.host.start(func() { l.host.watchConfig(ctx) })
	case !watch && l.stopWatch != nil:
		l.stopWatch()
		l.stopWatch = nil
	}
}
