// Package committer writes configuration changes to the key-value service. A change takes
// effect when the head document is replaced by compare-and-swap. All documents that the new
// head refers to are written before that. The package reaches the store only through the Store
// interface and keeps no state.
package committer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
)

const (
	// MaxHistoryEntries bounds the changes that the history keeps; older ones are dropped.
	MaxHistoryEntries = 100
	// MaxDocumentBytes is the size of the largest value that the store accepts.
	MaxDocumentBytes = 1 << 20
	// maxAttempts bounds the attempts at one step when answers of the store are lost or stale.
	maxAttempts = 4
	// maxSkippedRevisions bounds the revision numbers that one change skips because another
	// change has written documents for them.
	maxSkippedRevisions = 16
)

// Committer reads and changes the configuration in the store.
type Committer struct {
	Store     wigeonspindle.Store
	Codec     wigeonspindle.Codec
	Validator *validator.Validator
}

// Proposal is a change together with the state of the host that proposes it.
type Proposal struct {
	Change wigeonspindle.ConfigChange
	// Known is the configuration in force on the host, or nil if it has none.
	Known *wigeonspindle.Config
	// Stamp is set on every failure domain whose state changes.
	Stamp wigeonspindle.Timestamp
	Now   time.Time
}

// StoredConfig is the configuration in the store with its head, decoded and as a record.
type StoredConfig struct {
	Record wigeonspindle.Record
	Head   wigeonspindle.Head
	Config wigeonspindle.Config

	restored bool // restored is set if the store may have lost documents, so that all are written again.
}

// continueFrom replaces the stored configuration by the newer one in force on a host, for a
// store that was restored from an older copy. If the older head was only a stale answer, the
// later swap of the head fails.
func (c *StoredConfig) continueFrom(known wigeonspindle.Config) {
	c.Config = known
	c.restored = true
}

// Load reads the configuration in the store. Indexes that known contains in the same revision
// are not read again.
func (c *Committer) Load(ctx context.Context, known *wigeonspindle.Config) (StoredConfig, error) {
	var err error
	for range maxAttempts {
		var record wigeonspindle.Record
		if record, err = c.Store.Get(ctx, wigeonspindle.KeyHead); err != nil {
			return StoredConfig{}, errors.Wrap(err, "read head")
		}
		var current StoredConfig
		// A document is missing if a newer head was written after this head was read and the
		// document was cleared. The next attempt reads the newer head.
		if current, err = c.LoadIndexes(ctx, record, known); err == nil {
			return current, nil
		}
	}
	return StoredConfig{}, err
}

// LoadIndexes decodes a head document and reads the index documents that it refers to.
func (c *Committer) LoadIndexes(ctx context.Context, record wigeonspindle.Record, known *wigeonspindle.Config) (StoredConfig, error) {
	current := StoredConfig{Record: record}
	if record.Version == 0 {
		return current, nil
	}
	if err := c.Codec.Decode(record.Value, &current.Head); err != nil {
		return current, errors.Wrap(err, "read head")
	}
	head := current.Head
	current.Config = wigeonspindle.Config{Revision: head.Revision, Rules: head.Rules, Domains: head.Domains}
	for _, reference := range head.Indexes {
		index, ok := findIndex(known, reference)
		if !ok {
			var err error
			if index, err = c.readIndex(ctx, reference); err != nil {
				return current, err
			}
		}
		current.Config.Indexes = append(current.Config.Indexes, index)
	}
	return current, nil
}

func findIndex(known *wigeonspindle.Config, reference wigeonspindle.IndexReference) (wigeonspindle.Index, bool) {
	if known != nil {
		for _, index := range known.Indexes {
			if index.Name == reference.Name && index.ModRevision == reference.ModRevision {
				return index, true
			}
		}
	}
	return wigeonspindle.Index{}, false
}

func (c *Committer) readIndex(ctx context.Context, reference wigeonspindle.IndexReference) (wigeonspindle.Index, error) {
	key := wigeonspindle.IndexKey(reference.Name, reference.ModRevision)
	record, err := c.Store.Get(ctx, key)
	if err != nil {
		return wigeonspindle.Index{}, errors.Wrapf(err, "read %s", key)
	}
	if len(record.Value) == 0 {
		return wigeonspindle.Index{}, errors.Newf("read %s: the document is missing", key)
	}
	var document wigeonspindle.IndexDocument
	if err := c.Codec.Decode(record.Value, &document); err != nil {
		return wigeonspindle.Index{}, errors.Wrapf(err, "read %s", key)
	}
	document.Index.ModRevision = reference.ModRevision
	return document.Index, nil
}

// Check decides whether a change may replace the current configuration. It returns the history
// entry with a summary of the differences.
func (c *Committer) Check(current wigeonspindle.Config, proposal Proposal) (wigeonspindle.HistoryEntry, *wigeonspindle.Refusal) {
	change := proposal.Change
	entry := wigeonspindle.HistoryEntry{
		Revision: current.Revision + 1, Identity: change.Identity, Author: change.Author, Reason: change.Reason,
		At: proposal.Now, Summary: validator.Summary(current, change.Config),
	}
	if change.ExpectedRevision != current.Revision {
		return entry, conflictRefusal(change.ExpectedRevision, current.Revision)
	}
	if refusal := validator.NewRefusal(c.Validator.Check(change.Config)); refusal != nil {
		return entry, refusal
	}
	return entry, nil
}

// Commit writes a change and returns its history entry and the configuration that it put in
// force. A change whose identity has been accepted before is not written again. Errors are
// Refusals: with verdict NotRun the change never takes effect; with MayHaveRun the result is
// unknown, and the change may be proposed again under the same identity.
func (c *Committer) Commit(ctx context.Context, proposal Proposal) (wigeonspindle.HistoryEntry, wigeonspindle.Config, error) {
	change := proposal.Change
	current, err := c.Load(ctx, proposal.Known)
	if err != nil {
		return wigeonspindle.HistoryEntry{}, current.Config, unavailableRefusal(wigeonspindle.NotRun, err)
	}
	if known := proposal.Known; known != nil && known.Revision > current.Config.Revision {
		if change.ExpectedRevision != known.Revision {
			return wigeonspindle.HistoryEntry{}, current.Config, unavailableRefusal(wigeonspindle.NotRun, errors.Newf(
				"the store returned revision %d, older than revision %d in force", current.Config.Revision, known.Revision))
		}
		current.continueFrom(*known)
	}
	if change.ExpectedRevision != current.Config.Revision {
		entry, ok, err := c.findEntry(ctx, current, change.Identity)
		if err != nil {
			return entry, current.Config, unavailableRefusal(wigeonspindle.MayHaveRun, err)
		}
		if ok {
			return entry, current.Config, nil
		}
	}
	entry, refusal := c.Check(current.Config, proposal)
	if refusal != nil {
		return entry, current.Config, refusal
	}
	next, err := c.prepareHead(ctx, current, proposal, entry)
	if err != nil {
		return entry, current.Config, err
	}
	return c.swapAndClear(ctx, current, next, change)
}

// swapAndClear swaps the head and then clears the documents that no head refers to any more.
func (c *Committer) swapAndClear(ctx context.Context, current, next StoredConfig, change wigeonspindle.ConfigChange) (wigeonspindle.HistoryEntry, wigeonspindle.Config, error) {
	entry, err := c.swapHead(ctx, next, change)
	if err == nil {
		c.clearDocuments(ctx, unreferenced(current.Head, next.Head))
		return entry, next.Config, nil
	}
	var refusal *wigeonspindle.Refusal
	if errors.As(err, &refusal) && refusal.Verdict == wigeonspindle.NotRun {
		c.clearDocuments(ctx, unreferenced(next.Head, current.Head))
	}
	return entry, current.Config, err
}

// unreferenced returns the documents that one head refers to and another does not.
func unreferenced(head, other wigeonspindle.Head) []wigeonspindle.IndexReference {
	var references []wigeonspindle.IndexReference
	for _, reference := range head.Indexes {
		if !slices.Contains(other.Indexes, reference) {
			references = append(references, reference)
		}
	}
	return references
}

// clearDocuments replaces documents by empty values to free space in the store. A failure only
// wastes space, so it is not reported.
func (c *Committer) clearDocuments(ctx context.Context, references []wigeonspindle.IndexReference) {
	for _, reference := range references {
		record, err := c.Store.Get(ctx, wigeonspindle.IndexKey(reference.Name, reference.ModRevision))
		if err == nil && len(record.Value) > 0 {
			record.Value = nil
			_, _ = c.Store.CompareAndSwap(ctx, record)
		}
	}
}

func conflictRefusal(expected, current wigeonspindle.Revision) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeConflict, Verdict: wigeonspindle.NotRun, Field: "expected",
		Message: fmt.Sprintf("expected revision %d, the current revision is %d", expected, current),
	}
}

func unavailableRefusal(verdict wigeonspindle.Verdict, err error) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{Code: wigeonspindle.CodeUnavailable, Verdict: verdict, Message: err.Error()}
}
