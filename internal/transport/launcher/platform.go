package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/committer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/relayer"
)

const (
	hostListPeriod = time.Second
	// watchTimeout ends a watch whose connection may have failed without an error.
	watchTimeout         = 30 * time.Second
	overrideWriteTimeout = 10 * time.Second
)

// countingStore counts this host's calls to the store and records when the store last
// answered.
type countingStore struct {
	host *Host
}

// Get reads the record of a key.
func (s countingStore) Get(ctx context.Context, key string) (wigeonspindle.Record, error) {
	record, err := s.host.Store.Get(ctx, key)
	return record, s.recordAnswer(err)
}

// CompareAndSwap writes a record if its version is still current.
func (s countingStore) CompareAndSwap(ctx context.Context, record wigeonspindle.Record) (wigeonspindle.Record, error) {
	written, err := s.host.Store.CompareAndSwap(ctx, record)
	return written, s.recordAnswer(err)
}

// Watch waits for a version later than after.
func (s countingStore) Watch(ctx context.Context, key string, after uint64) (wigeonspindle.Record, error) {
	record, err := s.host.Store.Watch(ctx, key, after)
	return record, s.recordAnswer(err)
}

func (s countingStore) recordAnswer(err error) error {
	s.host.storeCalls.Add(1)
	var refusal *wigeonspindle.Refusal
	if err == nil || errors.As(err, &refusal) && refusal.Code == wigeonspindle.CodeConflict {
		s.host.lastStoreAnswer.Store(s.host.Clock.Now().UnixNano())
	}
	return err
}

// pollHostList reads the platform's host list periodically.
func (h *Host) pollHostList() {
	for {
		listings, err := h.Lister.List(h.ctx)
		if err == nil {
			h.control.inputs.Offer(controlInput{listings: &listings})
		} else if h.ctx.Err() == nil {
			h.Logger.Warn("failed to read the host list", "error", err)
		}
		if !h.sleep(h.ctx, hostListPeriod) {
			return
		}
	}
}

// sleep waits for the period and reports false when ctx ended first.
func (h *Host) sleep(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// watchConfig follows the configuration in the store until ctx ends.
func (h *Host) watchConfig(ctx context.Context) {
	h.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventStore, Detail: "watching"})
	var version uint64
	failures := 0
	for ctx.Err() == nil {
		record, err := h.awaitHead(ctx, version)
		if err == nil {
			err = h.loadConfig(ctx, record)
		}
		if err == nil {
			version, failures = record.Version, 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		if failures == 1 {
			h.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventStore, Detail: "watch failed: " + err.Error()})
		}
		h.sleep(ctx, relayer.Backoff(failures, rand.Float64()))
	}
}

// awaitHead returns the record of the head key when its version exceeds after. When a watch
// times out, it reads the record instead: a store restored from a backup restarts its
// version numbers, so that a watch for a later version would never return.
func (h *Host) awaitHead(ctx context.Context, after uint64) (wigeonspindle.Record, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	record, err := h.countingStore.Watch(watchCtx, wigeonspindle.KeyHead, after)
	if err == nil || watchCtx.Err() == nil || ctx.Err() != nil {
		return record, err
	}
	return h.countingStore.Get(ctx, wigeonspindle.KeyHead)
}

// loadConfig reads the configuration that a head refers to and passes it to the control loop.
func (h *Host) loadConfig(ctx context.Context, record wigeonspindle.Record) error {
	if record.Version == 0 {
		return nil
	}
	current, err := h.committer.LoadIndexes(ctx, record, h.holder.Config())
	if err != nil {
		return err
	}
	if !h.control.inputs.Offer(controlInput{config: &current.Config}) {
		return errors.New("the input ring of the control loop is full")
	}
	return nil
}

// writeOverrides writes to the store the overrides that it does not hold yet.
func (h *Host) writeOverrides() {
	for {
		select {
		case <-h.stop:
			return
		case overrides := <-h.control.pendingOverrides.C():
			for _, override := range overrides {
				h.writeOverride(override)
			}
		}
	}
}

func (h *Host) writeOverride(override wigeonspindle.Override) {
	ctx, cancel := context.WithTimeout(h.ctx, overrideWriteTimeout)
	defer cancel()
	config, err := h.committer.SetDomain(ctx, committer.Proposal{
		Change: wigeonspindle.ConfigChange{
			// Every host derives the same identity, so that the override is written only once.
			Identity: fmt.Sprintf("override.%s.%d.%d", override.Domain, override.Stamp.Wall.UnixNano(), override.Stamp.Logical),
			Author:   override.Author, Reason: "override made while the store was unavailable",
		},
		Known: h.holder.Config(), Stamp: override.Stamp, Now: h.Clock.Now(),
	}, override.Domain, override.Out)
	if err != nil {
		h.Logger.Warn("failed to write an override to the store", "domain", override.Domain, "error", err)
		return
	}
	h.control.inputs.Offer(controlInput{config: &config})
}
