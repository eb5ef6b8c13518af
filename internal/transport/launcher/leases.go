package launcher

import (
	"sync/atomic"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/elector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/router"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

const (
	leaseInputsCapacity = 1024
	leaseTickPeriod     = 100 * time.Millisecond
	// claimPeriod is the interval between renewals. It is a third of the default lease, so that
	// a lease survives one lost round.
	claimPeriod = time.Second
	// noticePeriod is the interval at which a new voter requests confirmation of its seat.
	noticePeriod = 500 * time.Millisecond
	// defaultLeaseDuration applies until the first configuration arrives.
	defaultLeaseDuration = 3 * time.Second
)

// leaseLoop claims and grants leases on targets. Only its goroutine uses the voter and the
// holder. It never waits for the store.
type leaseLoop struct {
	host   *Host
	inputs *queuer.Ring[leaseInput]
	// roster is published for heartbeats and the roster keeper. confirmed is a roster with the
	// confirmed seat of this host that the roster keeper must write; nil for none.
	roster    atomic.Pointer[wigeonspindle.Roster]
	confirmed atomic.Pointer[wigeonspindle.Roster]
	status    atomic.Pointer[[]wigeonspindle.TargetStatus]

	voter           elector.Voter
	holder          elector.Holder
	held            map[string]*heldTarget
	expectedOwners  expectedOwners
	lastHoldingID   uint64
	lastClaim       time.Time
	lastNotice      time.Time
	claimDue        bool
	seatTransferred bool
}

// leaseInput is a message from another host or an input from another goroutine of this one.
// Exactly one of message, drained, load and roster is set.
type leaseInput struct {
	message wigeonspindle.Envelope
	reply   wigeonspindle.ReplyFunc
	drained *drainedTarget
	load    *targetLoad
	roster  *wigeonspindle.Roster
}

// drainedTarget reports that a target to be released has no attempts left in flight.
type drainedTarget struct {
	name      string
	holdingID uint64
	level     float64
}

type targetLoad struct {
	name  string
	load  wigeonspindle.Load
	level float64
}

// heldTarget is a target that the host claims, holds or is releasing.
type heldTarget struct {
	target wigeonspindle.Target
	// holdingID distinguishes this holding from earlier ones of the same target.
	holdingID    uint64
	leaseEnd     time.Time
	revision     wigeonspindle.Revision
	outOfService bool
	releasing    bool
	load         wigeonspindle.Load
	// level is the ramp level sent with claims. The level in load is relative to the speed of
	// the target, which the next owner does not know.
	level float64
}

func newLeaseLoop(host *Host) *leaseLoop {
	l := &leaseLoop{
		host: host, inputs: queuer.New[leaseInput](leaseInputsCapacity), held: make(map[string]*heldTarget), expectedOwners: make(expectedOwners),
		voter: elector.Voter{Self: host.self.Incarnation}, holder: elector.Holder{Self: host.self.Incarnation},
	}
	l.roster.Store(&wigeonspindle.Roster{})
	l.status.Store(&[]wigeonspindle.TargetStatus{})
	return l
}

// Roster returns the latest roster known to the host.
func (l *leaseLoop) Roster() wigeonspindle.Roster { return *l.roster.Load() }

// Status returns the state of the targets that the host owns.
func (l *leaseLoop) Status() []wigeonspindle.TargetStatus { return *l.status.Load() }

func (l *leaseLoop) run() {
	ticker := time.NewTicker(leaseTickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.host.stop:
			return
		case input := <-l.inputs.C():
			l.handleInput(input, l.host.Clock.Now())
		case <-ticker.C:
			l.tick(l.host.Clock.Now())
		}
	}
}

func (l *leaseLoop) handleInput(input leaseInput, now time.Time) {
	switch {
	case input.drained != nil:
		l.releaseLease(*input.drained, now)
	case input.load != nil:
		if held := l.held[input.load.name]; held != nil {
			held.load, held.level = input.load.load, input.load.level
		}
	case input.roster != nil:
		l.mergeRoster(*input.roster, now)
	default:
		l.handleMessage(input.message, input.reply, now)
	}
}

func (l *leaseLoop) handleMessage(message wigeonspindle.Envelope, reply wigeonspindle.ReplyFunc, now time.Time) {
	switch {
	case message.Claim != nil:
		if grant, ok := l.voter.Claim(*message.Claim, l.leaseDuration(), now); ok {
			reply(wigeonspindle.Envelope{Grant: &grant})
		}
	case message.Grant != nil:
		for _, lease := range l.holder.Grant(*message.Grant, now) {
			l.extendLease(lease, now)
		}
	case message.Release != nil:
		l.voter.Release(*message.Release, now)
		for _, target := range message.Release.Targets {
			l.expectedOwners.markReleased(target.Target, message.Release.Holder)
			if held := l.held[target.Target]; held != nil && held.leaseEnd.IsZero() {
				l.claimDue = true
			}
		}
	case message.Notice != nil:
		l.mergeRoster(message.Notice.Roster, now)
		l.acknowledgePending(message.From, reply, now)
	case message.Acknowledgement != nil:
		l.voter.AddAcknowledgement(*message.Acknowledgement, now)
		if confirmed, ok := l.voter.ConfirmedRoster(); ok {
			l.confirmed.Store(&confirmed)
		}
	}
}

// mergeRoster merges a roster from another host or the store into the known one.
func (l *leaseLoop) mergeRoster(roster wigeonspindle.Roster, now time.Time) {
	_, hadSeat := l.voter.Seat()
	if !l.voter.UpdateRoster(roster, l.leaseDuration(), now) {
		return
	}
	known := l.voter.Roster()
	l.holder.UpdateRoster(known)
	l.claimDue = true
	l.roster.Store(&known)
	if _, hasSeat := l.voter.Seat(); hasSeat != hadSeat {
		event := wigeonspindle.Event{Kind: wigeonspindle.EventSeated, Detail: "left the seat"}
		if hasSeat {
			event.Detail = "took a seat"
		}
		l.host.recorder.Record(event)
	}
}

// acknowledgePending confirms the pending seats of the host that sent its roster.
func (l *leaseLoop) acknowledgePending(from string, reply wigeonspindle.ReplyFunc, now time.Time) {
	for i, seat := range l.voter.Roster().Seats {
		if seat.Host != from || !seat.Pending {
			continue
		}
		if ack, ok := l.voter.Acknowledge(i, now); ok {
			reply(wigeonspindle.Envelope{Acknowledgement: &ack})
		}
	}
}

// leaseDuration returns the configured duration of the leases that this host grants.
func (l *leaseLoop) leaseDuration() time.Duration {
	if config := l.host.holder.Config(); config != nil && config.Rules.Lease > 0 {
		return config.Rules.Lease.Value()
	}
	return defaultLeaseDuration
}

func (l *leaseLoop) tick(now time.Time) {
	if config := l.host.holder.Config(); config != nil {
		l.updateOwnership(config, now)
	}
	for _, target := range l.holder.RemoveExpired(now) {
		if held := l.held[target]; held != nil {
			held.leaseEnd = time.Time{}
		}
		l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventLapsed, Target: target})
	}
	if l.host.leaving.Load() {
		l.transferSeat(now)
	}
	if l.voter.NeedsConfirmation() && now.Sub(l.lastNotice) >= noticePeriod {
		l.lastNotice = now
		l.sendToVoters(wigeonspindle.Envelope{Notice: &wigeonspindle.Notice{Roster: l.voter.Roster()}})
	}
	if l.claimDue || now.Sub(l.lastClaim) >= claimPeriod {
		l.sendClaim(now)
	}
}

// updateOwnership decides which targets this host claims and publishes the expected owner of
// each target.
func (l *leaseLoop) updateOwnership(config *wigeonspindle.Config, now time.Time) {
	placement := l.host.placement.Load()
	view := l.host.view.Load()
	hosts := eligibleOwners(view, placement.OutDomains)
	ownership := &wigeonspindle.Ownership{Owners: make(map[string]wigeonspindle.Host)}
	known := make(map[string]bool)
	for _, index := range config.Indexes {
		for _, target := range index.Targets {
			known[target.Name] = true
			preferred, ok := router.PreferredOwner(target, hosts)
			wanted := ok && preferred.Incarnation == l.host.self.Incarnation && !l.host.leaving.Load()
			l.updateHolding(target, wanted, !placement.Accepts(target), config.Revision)
			if owner, ok := l.expectedOwner(target.Name, preferred, view, now); ok {
				ownership.Owners[target.Name] = owner
			}
		}
	}
	for name, held := range l.held {
		if !known[name] {
			l.updateHolding(held.target, false, held.outOfService, config.Revision)
		}
	}
	l.expectedOwners.retain(known)
	l.host.ownership.Store(ownership)
	l.publishStatus()
}

// eligibleOwners returns the hosts that may own targets. It includes a host that only this one
// does not hear, so that the hosts of a cell agree on preferred owners as far as possible.
func eligibleOwners(view *wigeonspindle.MembershipView, outDomains map[string]bool) []wigeonspindle.Host {
	var hosts []wigeonspindle.Host
	for _, member := range view.Members {
		heard := member.Condition == wigeonspindle.ConditionLive || member.Condition == wigeonspindle.ConditionPartitioned
		if heard && !outDomains[member.Host.Domain] {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// expectedOwner returns the host to which attempts on a target go: this host while it holds
// the lease, else the holder to which this host granted it as a voter, else the owner that
// expectedOwners resolves.
func (l *leaseLoop) expectedOwner(target string, preferred wigeonspindle.Host, view *wigeonspindle.MembershipView, now time.Time) (wigeonspindle.Host, bool) {
	if held := l.held[target]; held != nil && !held.releasing && now.Before(held.leaseEnd) {
		return l.host.self, true
	}
	if holder, ok := l.voter.Holder(target, now); ok {
		if host, ok := reachableHost(view, holder); ok {
			return host, true
		}
	}
	return l.expectedOwners.resolve(target, preferred, view, now)
}

// updateHolding claims a target or starts to release it, and passes changed limits to the
// target loop.
func (l *leaseLoop) updateHolding(target wigeonspindle.Target, wanted, outOfService bool, revision wigeonspindle.Revision) {
	held := l.held[target.Name]
	if held == nil {
		if !wanted {
			return
		}
		l.lastHoldingID++
		held = &heldTarget{holdingID: l.lastHoldingID}
		l.held[target.Name] = held
		l.claimDue = true
	}
	// Releasing is not reversed before the target loop has finished it: a drainedTarget that is
	// already queued would otherwise release a lease in use.
	if held.releasing || !wanted {
		held.releasing = true
	} else if held.revision == revision && held.outOfService == outOfService {
		return
	}
	changed := *held
	changed.target, changed.revision, changed.outOfService = target, revision, outOfService
	if l.notifyTargetLoop(&changed, false, 0) {
		*held = changed
	}
}

// notifyTargetLoop passes the state of a held target to its target loop. It reports false when
// the ring of the loop is full.
func (l *leaseLoop) notifyTargetLoop(held *heldTarget, newLease bool, level float64) bool {
	return l.host.targetLoop(held.target.Name).inputs.Offer(targetInput{lease: &targetLease{
		target: held.target, holdingID: held.holdingID, leaseEnd: held.leaseEnd, newLease: newLease, level: level,
		outOfService: held.outOfService, releasing: held.releasing,
	}})
}

// extendLease applies a lease that a majority of the voters granted.
func (l *leaseLoop) extendLease(lease elector.Lease, now time.Time) {
	held := l.held[lease.Target]
	if held == nil || held.releasing {
		return
	}
	fresh := !now.Before(held.leaseEnd)
	changed := *held
	changed.leaseEnd = lease.Until
	if !l.notifyTargetLoop(&changed, fresh, lease.Level) {
		return // The next renewal repeats the notification.
	}
	*held = changed
	if fresh {
		l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventOwned, Target: lease.Target})
	}
}

// releaseLease releases the lease on a drained target. It informs every host, so that the next
// owner claims at once and the others stop sending attempts here.
func (l *leaseLoop) releaseLease(drained drainedTarget, now time.Time) {
	held := l.held[drained.name]
	if held == nil || held.holdingID != drained.holdingID || !held.releasing {
		return
	}
	delete(l.held, drained.name)
	targets := []wigeonspindle.ClaimTarget{{Target: drained.name}}
	if now.Before(held.leaseEnd) {
		targets[0].Level = drained.level
		l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventReleased, Target: drained.name})
	}
	release := l.holder.Release(targets)
	for _, member := range l.host.view.Load().Members {
		l.host.send(member.Host.Name, wigeonspindle.Envelope{Release: &release})
	}
}

// sendClaim claims or renews all leases of the host in one message to every voter.
func (l *leaseLoop) sendClaim(now time.Time) {
	l.lastClaim, l.claimDue = now, false
	var targets []wigeonspindle.ClaimTarget
	for name, held := range l.held {
		if held.releasing {
			continue
		}
		target := wigeonspindle.ClaimTarget{Target: name}
		if now.Before(held.leaseEnd) {
			target.Level = held.level
		}
		targets = append(targets, target)
	}
	if len(targets) == 0 {
		return
	}
	claim := l.holder.Claim(targets, now)
	l.sendToVoters(wigeonspindle.Envelope{Claim: &claim})
}

func (l *leaseLoop) sendToVoters(message wigeonspindle.Envelope) {
	for _, seat := range l.voter.Roster().Seats {
		l.host.send(seat.Host, message)
	}
}

// transferSeat passes this host's seat to another host at a planned stop. If the notice to the
// new voter is lost, it and the other hosts learn of the transfer from heartbeats.
func (l *leaseLoop) transferSeat(now time.Time) {
	if l.seatTransferred {
		return
	}
	var hosts []wigeonspindle.Host
	for _, member := range l.host.view.Load().Members {
		if member.Condition == wigeonspindle.ConditionLive && member.Host.Incarnation != l.host.self.Incarnation {
			hosts = append(hosts, member.Host)
		}
	}
	successor, ok := elector.ChooseVoter(l.voter.Roster(), hosts)
	if !ok {
		return
	}
	roster, ok := l.voter.TransferSeat(successor, now)
	if !ok {
		return
	}
	l.seatTransferred = true
	l.holder.UpdateRoster(roster)
	l.roster.Store(&roster)
	l.host.send(successor.Name, wigeonspindle.Envelope{Notice: &wigeonspindle.Notice{Roster: roster}})
	l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventSeated, Peer: successor.Name, Detail: "handed the seat over"})
}

// publishStatus publishes the state of the owned targets for operators.
func (l *leaseLoop) publishStatus() {
	status := make([]wigeonspindle.TargetStatus, 0, len(l.held))
	for name, held := range l.held {
		if held.leaseEnd.IsZero() {
			continue
		}
		status = append(status, wigeonspindle.TargetStatus{Target: name, Domain: held.target.Domain, LeaseEnd: held.leaseEnd, Load: held.load})
	}
	l.status.Store(&status)
}
