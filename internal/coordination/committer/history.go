package committer

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

// History returns the latest accepted changes, newest first.
func (c *Committer) History(ctx context.Context) ([]wigeonspindle.HistoryEntry, error) {
	record, err := c.Store.Get(ctx, wigeonspindle.KeyHead)
	if err != nil {
		return nil, unavailableRefusal(wigeonspindle.NotRun, err)
	}
	if record.Version == 0 {
		return nil, nil
	}
	var head wigeonspindle.Head
	if err := c.Codec.Decode(record.Value, &head); err != nil {
		return nil, unavailableRefusal(wigeonspindle.NotRun, err)
	}
	_, entries, err := c.readHistory(ctx, head)
	if err != nil {
		return nil, unavailableRefusal(wigeonspindle.NotRun, err)
	}
	entries = appendEntry(entries, head.LastEntry)
	slices.Reverse(entries)
	return entries, nil
}

// readHistory reads the history, oldest entry first. It fails if the store returns a version
// older than the one that the head refers to.
func (c *Committer) readHistory(ctx context.Context, head wigeonspindle.Head) (wigeonspindle.Record, []wigeonspindle.HistoryEntry, error) {
	record, err := c.Store.Get(ctx, wigeonspindle.KeyHistory)
	if err != nil {
		return record, nil, errors.Wrap(err, "read history")
	}
	if record.Version < head.HistoryVersion {
		return record, nil, errors.Newf("read history: got version %d, older than version %d that the head names", record.Version, head.HistoryVersion)
	}
	var entries []wigeonspindle.HistoryEntry
	if record.Version == 0 {
		return record, nil, nil
	}
	return record, entries, errors.Wrap(c.Codec.Decode(record.Value, &entries), "read history")
}

// appendEntry adds an entry unless it is present and drops the oldest entries beyond
// MaxHistoryEntries.
func appendEntry(entries []wigeonspindle.HistoryEntry, entry wigeonspindle.HistoryEntry) []wigeonspindle.HistoryEntry {
	present := func(other wigeonspindle.HistoryEntry) bool { return other.Revision == entry.Revision }
	if !slices.ContainsFunc(entries, present) {
		entries = append(entries, entry)
	}
	if len(entries) > MaxHistoryEntries {
		entries = entries[len(entries)-MaxHistoryEntries:]
	}
	return entries
}

// recordLastEntry copies the head's last entry to the history and returns a version of the
// history that contains it.
func (c *Committer) recordLastEntry(ctx context.Context, head wigeonspindle.Head) (uint64, error) {
	if head.Revision == 0 {
		return 0, nil
	}
	var err error
	for range maxAttempts {
		var record wigeonspindle.Record
		var entries []wigeonspindle.HistoryEntry
		if record, entries, err = c.readHistory(ctx, head); err != nil {
			continue
		}
		present := func(other wigeonspindle.HistoryEntry) bool { return other.Revision == head.Revision }
		if slices.ContainsFunc(entries, present) {
			return record.Version, nil
		}
		record.Key = wigeonspindle.KeyHistory
		if record.Value, err = c.Codec.Encode(appendEntry(entries, head.LastEntry)); err != nil {
			return 0, err
		}
		var written wigeonspindle.Record
		if written, err = c.Store.CompareAndSwap(ctx, record); err == nil {
			return written.Version, nil
		}
	}
	return 0, errors.Wrap(err, "write history")
}

// findEntry looks up an accepted change by its identity in the head and in the history.
func (c *Committer) findEntry(ctx context.Context, current StoredConfig, identity string) (wigeonspindle.HistoryEntry, bool, error) {
	if identity == "" {
		return wigeonspindle.HistoryEntry{}, false, nil
	}
	if current.Head.LastEntry.Identity == identity {
		return current.Head.LastEntry, true, nil
	}
	_, entries, err := c.readHistory(ctx, current.Head)
	for _, entry := range entries {
		if entry.Identity == identity {
			return entry, true, nil
		}
	}
	return wigeonspindle.HistoryEntry{}, false, err
}
