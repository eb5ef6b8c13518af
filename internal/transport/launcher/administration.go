package launcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/committer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/relayer"
)

// domainWriteTimeout bounds how long an operator's change of a domain waits for the store. The
// change is already in force as an override.
const domainWriteTimeout = 3 * time.Second

// Config returns the configuration in force, or nil before the first one arrived.
func (h *Host) Config() *wigeonspindle.Config { return h.holder.Config() }

// Placement returns the domains and targets that receive no new work.
func (h *Host) Placement() *wigeonspindle.Placement { return h.placement.Load() }

// Status returns the state of the host for operators.
func (h *Host) Status() wigeonspindle.Status {
	view := h.view.Load()
	status := wigeonspindle.Status{
		Host: h.self, Revision: h.holder.Revision(), Leaving: h.leaving.Load(), Members: view.Members,
		Overrides: h.heartbeatContent.Load().Overrides, Queries: int(h.inflight.Load()), StoreCalls: h.storeCalls.Load(),
	}
	if lastAnswer := h.lastStoreAnswer.Load(); lastAnswer != 0 {
		status.StoreAnsweredAt = time.Unix(0, lastAnswer)
	}
	switch {
	case status.Leaving:
		status.NotReadyReason = "the host is leaving"
	case status.Revision == 0:
		status.NotReadyReason = "no configuration is known yet"
	default:
		status.Ready = true
	}
	if status.Ready && h.placement.Load().OutDomains[h.self.Domain] {
		status.NotReadyReason = "the host's failure domain is out of service"
	}
	status.Targets, status.Roster = h.leases.Status(), h.leases.Roster()
	status.Rings = h.ringStatus()
	return status
}

func (h *Host) ringStatus() []wigeonspindle.RingStatus {
	rings := []wigeonspindle.RingStatus{
		{Ring: "control", Waiting: h.control.inputs.Len(), Capacity: h.control.inputs.Cap()},
		{Ring: "leases", Waiting: h.leases.inputs.Len(), Capacity: h.leases.inputs.Cap()},
	}
	for i, loop := range h.queries {
		rings = append(rings,
			wigeonspindle.RingStatus{Ring: fmt.Sprintf("queries%d", i), Waiting: loop.queries.Len(), Capacity: loop.queries.Cap()},
			wigeonspindle.RingStatus{Ring: fmt.Sprintf("outcomes%d", i), Waiting: loop.outcomes.Len(), Capacity: loop.outcomes.Cap()})
	}
	for i, loop := range h.targets {
		rings = append(rings,
			wigeonspindle.RingStatus{Ring: fmt.Sprintf("attempts%d", i), Waiting: loop.inputs.Len(), Capacity: loop.inputs.Cap()})
	}
	return rings
}

// Events returns the recorded events that match the filter, oldest first.
func (h *Host) Events(filter wigeonspindle.EventFilter) []wigeonspindle.Event {
	return slices.DeleteFunc(h.recorder.Events(), func(event wigeonspindle.Event) bool {
		wall := event.Stamp.Wall
		return filter.Trace != "" && event.Trace != filter.Trace ||
			filter.Target != "" && event.Target != filter.Target ||
			!filter.Since.IsZero() && wall.Before(filter.Since) ||
			!filter.Until.IsZero() && !wall.Before(filter.Until)
	})
}

// Propose validates a configuration change and, unless dry is set, writes it to the store.
func (h *Host) Propose(ctx context.Context, change wigeonspindle.ConfigChange, dry bool) (wigeonspindle.HistoryEntry, error) {
	if change.Identity == "" {
		change.Identity = string(NewIncarnation())
	}
	proposal := committer.Proposal{
		Change: change, Known: h.holder.Config(), Stamp: h.recorder.Stamp(), Now: h.Clock.Now(),
	}
	if dry {
		return h.checkChange(ctx, proposal)
	}
	entry, config, err := h.committer.Commit(ctx, proposal)
	if err != nil {
		return entry, err
	}
	h.control.inputs.Offer(controlInput{config: &config})
	return entry, nil
}

// checkChange validates a change against the configuration in the store or, while the store is
// unavailable, against the one in force.
func (h *Host) checkChange(ctx context.Context, proposal committer.Proposal) (wigeonspindle.HistoryEntry, error) {
	var base wigeonspindle.Config
	current, err := h.committer.Load(ctx, proposal.Known)
	switch {
	case err == nil:
		base = current.Config
	case proposal.Known != nil:
		base = *proposal.Known
	}
	entry, refusal := h.committer.Check(base, proposal)
	if refusal != nil {
		return entry, refusal
	}
	return entry, nil
}

// History returns the latest accepted changes, newest first.
func (h *Host) History(ctx context.Context) ([]wigeonspindle.HistoryEntry, error) {
	return h.committer.History(ctx)
}

// SetDomain takes a failure domain out of service or brings it back. The change is first sent
// to all hosts as an override, so that it is in force within one heartbeat even if the store
// is slow, and then written to the store. It reports true when the store did not confirm the
// write and the change is in force as an override only.
func (h *Host) SetDomain(ctx context.Context, domain string, out bool, author string) (bool, error) {
	config := h.holder.Config()
	matches := func(d wigeonspindle.Domain) bool { return d.Name == domain }
	if config != nil && !slices.ContainsFunc(config.Domains, matches) {
		return false, &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeInvalid, Verdict: wigeonspindle.NotRun, Field: "domain",
			Message: fmt.Sprintf("got %q, accepted: a name in domains", domain),
		}
	}
	now := h.Clock.Now()
	override := wigeonspindle.Override{
		Domain: domain, Out: out, Stamp: h.recorder.Stamp(), Author: author, Expires: now.Add(relayer.OverrideLifetime),
	}
	if !h.control.inputs.Offer(controlInput{override: &override}) {
		return false, &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeOverloaded, Verdict: wigeonspindle.NotRun, Message: "the host is saturated",
		}
	}
	for _, member := range h.view.Load().Members {
		if member.Host.Name != h.self.Name {
			h.send(member.Host.Name, wigeonspindle.Envelope{Override: &override})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, domainWriteTimeout)
	defer cancel()
	written, err := h.committer.SetDomain(ctx, committer.Proposal{
		Change: wigeonspindle.ConfigChange{Identity: string(NewIncarnation()), Author: author, Reason: "failure domain " + domain},
		Known:  config, Stamp: override.Stamp, Now: now,
	}, domain, out)
	if err == nil {
		h.control.inputs.Offer(controlInput{config: &written})
		return false, nil
	}
	var refusal *wigeonspindle.Refusal
	if errors.As(err, &refusal) && refusal.Code == wigeonspindle.CodeInvalid {
		return false, err
	}
	h.Logger.Warn("domain change is in force as an override; the store did not confirm it", "domain", domain, "error", err)
	return true, nil
}

// reportDraining passes a target's report whether it is draining to the control loop. A
// draining target receives no new work from any host of the cell.
func (h *Host) reportDraining(target string, draining bool) {
	h.control.inputs.Offer(controlInput{drainReport: &drainReport{target: target, draining: draining}})
}
