package launcher

import (
	"context"
	"encoding/json"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/elector"
)

// rosterKeyPrefix, followed by the name of a cell, is the store's key of the cell's roster.
const rosterKeyPrefix = "roster."

const (
	rosterPeriod = time.Second
	// rosterReaders is the number of hosts that read the roster from the store periodically.
	// It is fixed, so that the number of reads does not grow with the cell.
	rosterReaders = 2
	// voterProbeTimeout bounds the connection attempt that shows whether a silent voter is dead.
	voterProbeTimeout = 500 * time.Millisecond
)

// rosterKeeper reads and writes the roster in the store. It has its own goroutine, because it
// may wait for the store and the lease loop must not.
type rosterKeeper struct {
	host          *Host
	planner       elector.Planner
	linkAddresses map[string]string // linkAddresses are the last known ones by host name.
}

func newRosterKeeper(host *Host) *rosterKeeper {
	return &rosterKeeper{host: host, linkAddresses: make(map[string]string)}
}

func (k *rosterKeeper) run() {
	ticker := time.NewTicker(rosterPeriod)
	defer ticker.Stop()
	for {
		if k.shouldSync() {
			if err := k.syncRoster(k.host.ctx); err != nil && k.host.ctx.Err() == nil {
				k.host.Logger.Warn("failed to synchronize the roster with the store", "error", err)
			}
		}
		select {
		case <-k.host.stop:
			return
		case <-ticker.C:
		}
	}
}

// shouldSync reports whether this host reads the roster from the store: it knows no roster, has
// a confirmed seat to write or is one of the first live hosts by name.
func (k *rosterKeeper) shouldSync() bool {
	if k.host.leases.Roster().Era == 0 || k.host.leases.confirmed.Load() != nil {
		return true
	}
	earlier := 0
	for _, member := range k.host.view.Load().Members {
		if member.Condition == wigeonspindle.ConditionLive && member.Host.Name < k.host.self.Name {
			earlier++
		}
	}
	return earlier < rosterReaders && !k.host.leaving.Load()
}

func (k *rosterKeeper) syncRoster(ctx context.Context) error {
	record, err := k.host.countingStore.Get(ctx, k.key())
	if err != nil {
		return errors.Wrap(err, "read the roster")
	}
	var stored wigeonspindle.Roster
	if record.Version > 0 {
		if err := json.Unmarshal(record.Value, &stored); err != nil {
			return errors.Wrap(err, "decode the roster")
		}
		k.offerRoster(stored)
	}
	planned, write := k.planner.Plan(k.observe(ctx, stored), k.host.Clock.Now())
	confirmed := k.host.leases.confirmed.Swap(nil)
	if confirmed != nil {
		planned, write = elector.MergeRosters(stored, *confirmed)
	}
	if !write {
		return nil
	}
	value, err := json.Marshal(planned)
	if err != nil {
		return errors.Wrap(err, "encode the roster")
	}
	// After a conflict or a lost answer the next round reads the roster again.
	if _, err := k.host.countingStore.CompareAndSwap(ctx, wigeonspindle.Record{Key: k.key(), Value: value, Version: record.Version}); err != nil {
		k.host.leases.confirmed.CompareAndSwap(nil, confirmed)
		return errors.Wrap(err, "write the roster")
	}
	k.host.Logger.Info("roster written", "era", planned.Era, "seats", len(planned.Seats))
	k.offerRoster(planned)
	return nil
}

func (k *rosterKeeper) key() string { return rosterKeyPrefix + k.host.self.Cell }

func (k *rosterKeeper) offerRoster(roster wigeonspindle.Roster) {
	k.host.leases.inputs.Offer(leaseInput{roster: &roster})
}

// observe collects the planner's input: the rosters and the state of the hosts of the cell.
func (k *rosterKeeper) observe(ctx context.Context, stored wigeonspindle.Roster) elector.Observation {
	observation := elector.Observation{
		Stored: stored, Known: k.host.leases.Roster(),
		Responding: make(map[wigeonspindle.Incarnation]bool), Dead: make(map[wigeonspindle.Incarnation]bool),
	}
	incarnations := make(map[string]wigeonspindle.Incarnation)
	for _, member := range k.host.view.Load().Members {
		k.linkAddresses[member.Host.Name] = member.Host.LinkAddress
		if member.Dead {
			observation.Dead[member.Host.Incarnation] = true
		}
		switch member.Condition {
		case wigeonspindle.ConditionLive:
			if member.Host.Incarnation != k.host.self.Incarnation || !k.host.leaving.Load() {
				observation.Candidates = append(observation.Candidates, member.Host)
			}
			fallthrough
		case wigeonspindle.ConditionLeaving, wigeonspindle.ConditionPartitioned:
			observation.Responding[member.Host.Incarnation] = true
			incarnations[member.Host.Name] = member.Host.Incarnation
		}
	}
	if listings, err := k.host.Lister.List(ctx); err == nil {
		observation.ListedHosts = make(map[string]bool)
		for _, listing := range listings {
			observation.ListedHosts[listing.Name] = true
			k.linkAddresses[listing.Name] = listing.LinkAddress
		}
	}
	for _, roster := range []wigeonspindle.Roster{observation.Stored, observation.Known} {
		for _, seat := range roster.Seats {
			k.probeVoter(ctx, seat.Host, seat.Incarnation, incarnations, &observation)
			k.probeVoter(ctx, seat.PreviousHost, seat.PreviousIncarnation, incarnations, &observation)
		}
	}
	return observation
}

// probeVoter marks a silent voter as dead when another incarnation runs under its name or its
// address refuses connections. A timeout does not prove that it is dead.
func (k *rosterKeeper) probeVoter(ctx context.Context, name string, voter wigeonspindle.Incarnation, incarnations map[string]wigeonspindle.Incarnation, observation *elector.Observation) {
	if voter == "" || observation.Responding[voter] || observation.Dead[voter] {
		return
	}
	if other := incarnations[name]; other != "" && other != voter {
		observation.Dead[voter] = true
		return
	}
	link := k.linkAddresses[name]
	if link == "" {
		return
	}
	dialer := net.Dialer{Timeout: voterProbeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", link)
	if err == nil {
		_ = conn.Close()
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		observation.Dead[voter] = true
	}
}
