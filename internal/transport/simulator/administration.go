package simulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
)

// Administration is a fake wigeonspindle.Administration that keeps its state in its own
// fields instead of a host and a store.
type Administration struct {
	Current      *wigeonspindle.Config
	State        wigeonspindle.Status
	Changes      []wigeonspindle.HistoryEntry // Changes holds the accepted changes, the newest first.
	Timeline     []wigeonspindle.Event
	ChangedAt    time.Time // ChangedAt is the time recorded for every change.
	Soft         bool      // Soft is the soft result that SetDomain returns.
	Err          error     // Err is the error that calls return when it is set.
	DrainCalls   int
	OutOfService map[string]bool // OutOfService holds the last state set for each domain.

	mutex sync.Mutex
}

// Config returns the configuration in force.
func (a *Administration) Config() *wigeonspindle.Config {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.Current
}

// Status returns the State field.
func (a *Administration) Status() wigeonspindle.Status { return a.State }

// Events returns the events of the timeline that match the filter.
func (a *Administration) Events(filter wigeonspindle.EventFilter) []wigeonspindle.Event {
	return recorder.Select(a.Timeline, filter)
}

// Propose accepts every change unless Err is set.
func (a *Administration) Propose(_ context.Context, change wigeonspindle.ConfigChange, dry bool) (wigeonspindle.HistoryEntry, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.Err != nil {
		return wigeonspindle.HistoryEntry{}, a.Err
	}
	entry := wigeonspindle.HistoryEntry{
		Revision: change.ExpectedRevision + 1, Identity: change.Identity, Author: change.Author, Reason: change.Reason,
		At: a.ChangedAt, Summary: []string{fmt.Sprintf("%d indexes", len(change.Config.Indexes))},
	}
	if !dry {
		config := change.Config
		config.Revision = entry.Revision
		a.Current, a.Changes = &config, append([]wigeonspindle.HistoryEntry{entry}, a.Changes...)
	}
	return entry, nil
}

// History returns the accepted changes, the newest first.
func (a *Administration) History(context.Context) ([]wigeonspindle.HistoryEntry, error) {
	return a.Changes, a.Err
}

// SetDomain records the state of a failure domain.
func (a *Administration) SetDomain(_ context.Context, domain string, out bool, _ string) (bool, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.OutOfService == nil {
		a.OutOfService = make(map[string]bool)
	}
	a.OutOfService[domain] = out
	return a.Soft, a.Err
}

// Drain counts the drain requests.
func (a *Administration) Drain() { a.DrainCalls++ }
