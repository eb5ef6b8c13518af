package simulator

import (
	"context"
	"sync"

	"wigeonspindle.example/wigeonspindle"
)

// MemoryStore is an in-memory wigeonspindle.Store and wigeonspindle.HostLister.
type MemoryStore struct {
	Listings []wigeonspindle.ListedHost

	mutex   sync.Mutex
	records map[string]wigeonspindle.Record
	changed chan struct{} // changed is closed by the next write.
}

// Get returns a record.
func (m *MemoryStore) Get(_ context.Context, key string) (wigeonspindle.Record, error) {
	record, _ := m.read(key)
	return record, nil
}

// CompareAndSwap writes a record if its version is the current one.
func (m *MemoryStore) CompareAndSwap(_ context.Context, record wigeonspindle.Record) (wigeonspindle.Record, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.records[record.Key].Version != record.Version {
		return wigeonspindle.Record{}, &wigeonspindle.Refusal{Code: wigeonspindle.CodeConflict, Verdict: wigeonspindle.NotRun}
	}
	if m.records == nil {
		m.records = make(map[string]wigeonspindle.Record)
	}
	record.Version++
	m.records[record.Key] = record
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	return record, nil
}

// Watch waits for a newer version of a record.
func (m *MemoryStore) Watch(ctx context.Context, key string, after uint64) (wigeonspindle.Record, error) {
	for {
		record, changed := m.read(key)
		if record.Version > after {
			return record, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return wigeonspindle.Record{}, ctx.Err()
		}
	}
}

// List returns Listings.
func (m *MemoryStore) List(context.Context) ([]wigeonspindle.ListedHost, error) {
	return m.Listings, nil
}

// read returns a record and a channel that the next write closes.
func (m *MemoryStore) read(key string) (wigeonspindle.Record, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	record := m.records[key]
	record.Key = key
	return record, m.changed
}
