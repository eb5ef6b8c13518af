// Package holder stores the configuration in force on a host.
package holder

import (
	"slices"
	"sync/atomic"

	"wigeonspindle.example/wigeonspindle"
)

// Holder stores the newest configuration. The revision never decreases, so a delayed answer
// of the store or an outdated peer cannot revert the configuration.
type Holder struct {
	config atomic.Pointer[wigeonspindle.Config]
}

// Config returns the configuration in force, or nil before the first one has arrived. Callers
// must not modify it.
func (h *Holder) Config() *wigeonspindle.Config { return h.config.Load() }

// Revision returns the revision in force, or 0 before the first configuration has arrived.
func (h *Holder) Revision() wigeonspindle.Revision {
	if config := h.config.Load(); config != nil {
		return config.Revision
	}
	return 0
}

// StoreIfNewer puts a configuration in force if it is newer than the current one, and reports
// whether it did.
func (h *Holder) StoreIfNewer(config *wigeonspindle.Config) bool {
	for {
		current := h.config.Load()
		if current != nil && config.Revision <= current.Revision {
			return false
		}
		if h.config.CompareAndSwap(current, config) {
			return true
		}
	}
}

// DeltaSince returns the changes after a revision. It reports false when there are none.
func (h *Holder) DeltaSince(after wigeonspindle.Revision) (wigeonspindle.Delta, bool) {
	current := h.config.Load()
	if current == nil || current.Revision <= after {
		return wigeonspindle.Delta{}, false
	}
	delta := wigeonspindle.Delta{From: after, Config: *current}
	delta.Config.Indexes = nil
	for _, index := range current.Indexes {
		delta.Names = append(delta.Names, index.Name)
		if index.ModRevision > after {
			delta.Config.Indexes = append(delta.Config.Indexes, index)
		}
	}
	return delta, true
}

// ApplyDelta merges a delta into the configuration in force. It reports false when the delta
// is not newer or is based on a revision that this host does not have.
func (h *Holder) ApplyDelta(delta wigeonspindle.Delta) bool {
	current := h.config.Load()
	if delta.Config.Revision <= h.Revision() || delta.From > h.Revision() {
		return false
	}
	merged := delta.Config
	merged.Indexes = nil
	for _, name := range delta.Names {
		hasName := func(index wigeonspindle.Index) bool { return index.Name == name }
		if i := slices.IndexFunc(delta.Config.Indexes, hasName); i >= 0 {
			merged.Indexes = append(merged.Indexes, delta.Config.Indexes[i])
			continue
		}
		if current == nil {
			return false
		}
		i := slices.IndexFunc(current.Indexes, hasName)
		if i < 0 {
			return false
		}
		merged.Indexes = append(merged.Indexes, current.Indexes[i])
	}
	return h.StoreIfNewer(&merged)
}
