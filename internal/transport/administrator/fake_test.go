package administrator_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

type clock struct{}

func (clock) Now() time.Time { return start }

// fake is a host whose store is the fake itself.
type fake struct {
	mutex   sync.Mutex
	config  *wigeonspindle.Config
	status  wigeonspindle.Status
	history []wigeonspindle.Entry
	events  []wigeonspindle.Event
	soft    bool
	fault   error
	drains  int
	outs    map[string]bool
}

func (f *fake) Config() *wigeonspindle.Config {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.config
}

func (f *fake) Status() wigeonspindle.Status { return f.status }

func (f *fake) Events(filter wigeonspindle.EventFilter) []wigeonspindle.Event {
	return recorder.Select(f.events, filter)
}

func (f *fake) Propose(_ context.Context, change wigeonspindle.Change, dry bool) (wigeonspindle.Entry, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.fault != nil {
		return wigeonspindle.Entry{}, f.fault
	}
	entry := wigeonspindle.Entry{
		Revision: change.Expected + 1, Identity: change.Identity, Author: change.Author, Reason: change.Reason,
		At: start, Summary: []string{fmt.Sprintf("%d indexes", len(change.Config.Indexes))},
	}
	if !dry {
		config := change.Config
		config.Revision = entry.Revision
		f.config, f.history = &config, append([]wigeonspindle.Entry{entry}, f.history...)
	}
	return entry, nil
}

func (f *fake) History(context.Context) ([]wigeonspindle.Entry, error) { return f.history, f.fault }

func (f *fake) SetDomain(_ context.Context, domain string, out bool, _ string) (bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outs == nil {
		f.outs = make(map[string]bool)
	}
	f.outs[domain] = out
	return f.soft, f.fault
}

func (f *fake) Drain() { f.drains++ }

// newFake returns a host with one index at revision 7.
func newFake() *fake {
	return &fake{
		config: &wigeonspindle.Config{
			Revision: 7,
			Domains:  []wigeonspindle.Domain{{Name: "a"}, {Name: "b", Out: true}},
			Indexes: []wigeonspindle.Index{{
				Name: "lookup", Prefer: wigeonspindle.CoverageFirst,
				Snapshots: []wigeonspindle.Snapshot{{Version: "v1", Shards: []string{"s1"}}},
				Targets:   []wigeonspindle.Target{{Name: "t1", Domain: "c"}},
			}},
		},
		status: wigeonspindle.Status{
			Host: wigeonspindle.Host{Name: "host-1"}, Revision: 7, Ready: true, Queries: 3, StoreCalls: 11,
			StoreSeen: start.Add(-2 * time.Second),
			Members: []wigeonspindle.Member{
				{Host: wigeonspindle.Host{Name: "host-1", Domain: "a"}, Condition: wigeonspindle.Live},
				{Host: wigeonspindle.Host{Name: "host-2", Domain: "b"}, Condition: wigeonspindle.Suspect},
			},
			Targets: []wigeonspindle.TargetStatus{
				{Target: "t1", Until: start.Add(3 * time.Second), Load: wigeonspindle.Load{Running: 2, Waiting: 5, Level: 1}},
				{Target: "t3", Load: wigeonspindle.Load{Level: 1}}, // The end of its lease is not known.
				{Target: "t2", Until: start.Add(time.Second), Load: wigeonspindle.Load{Running: 1, Level: 0.25}},
			},
			Rings: []wigeonspindle.RingStatus{
				{Ring: "queries0", Waiting: 1, Capacity: 4096}, {Ring: "queries1", Waiting: 2, Capacity: 4096},
			},
			Overrides: []wigeonspindle.Override{{Domain: "a", Out: true, Stamp: wigeonspindle.Stamp{Wall: start}}},
		},
	}
}
