package committer

import (
	"bytes"
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
)

// errRevisionTaken reports that another change has written a document for the same revision.
var errRevisionTaken = errors.New("another change wrote documents for the revision")

// prepareHead writes the documents that the new head refers to and returns the new head.
func (c *Committer) prepareHead(ctx context.Context, current StoredConfig, proposal Proposal, entry wigeonspindle.HistoryEntry) (StoredConfig, error) {
	historyVersion, err := c.recordLastEntry(ctx, current.Head)
	if err != nil {
		return StoredConfig{}, unavailableRefusal(wigeonspindle.NotRun, err)
	}
	revision := current.Config.Revision
	for range maxSkippedRevisions {
		// A revision for which another change has written a document is skipped. That change
		// may still win the swap, so its documents must not be overwritten.
		revision++
		entry.Revision = revision
		next := buildNext(current, proposal, entry)
		next.Head.HistoryVersion = historyVersion
		if next.Record.Value, err = c.Codec.Encode(next.Head); err != nil {
			return StoredConfig{}, unavailableRefusal(wigeonspindle.NotRun, err)
		}
		if refusal := checkSize(wigeonspindle.KeyHead, next.Record.Value); refusal != nil {
			return StoredConfig{}, refusal
		}
		err = c.writeDocuments(ctx, next, proposal.Change.Identity)
		if !errors.Is(err, errRevisionTaken) {
			return next, err
		}
	}
	return StoredConfig{}, unavailableRefusal(wigeonspindle.NotRun, err)
}

// buildNext returns the configuration and the head document that a change puts in force.
func buildNext(current StoredConfig, proposal Proposal, entry wigeonspindle.HistoryEntry) StoredConfig {
	config := proposal.Change.Config
	config.Revision = entry.Revision
	config.Domains = stampDomains(current.Config.Domains, config.Domains, proposal.Stamp)
	old := make(map[string]wigeonspindle.Index, len(current.Config.Indexes))
	for _, index := range current.Config.Indexes {
		old[index.Name] = index
	}
	indexes := config.Indexes
	config.Indexes = nil
	head := wigeonspindle.Head{Revision: entry.Revision, Rules: config.Rules, Domains: config.Domains, LastEntry: entry}
	for _, index := range indexes {
		index.ModRevision = entry.Revision
		if previous, ok := old[index.Name]; ok && !current.restored && validator.EqualIgnoringRevision(previous, index) {
			index.ModRevision = previous.ModRevision
		}
		config.Indexes = append(config.Indexes, index)
		head.Indexes = append(head.Indexes, wigeonspindle.IndexReference{Name: index.Name, ModRevision: index.ModRevision})
	}
	return StoredConfig{Record: wigeonspindle.Record{Key: wigeonspindle.KeyHead, Version: current.Record.Version}, Head: head, Config: config}
}

// stampDomains sets the time of the last state change of each domain, so that an older override
// does not undo a newer change.
func stampDomains(before, after []wigeonspindle.Domain, stamp wigeonspindle.Timestamp) []wigeonspindle.Domain {
	old := make(map[string]wigeonspindle.Domain, len(before))
	for _, domain := range before {
		old[domain.Name] = domain
	}
	var stamped []wigeonspindle.Domain
	for _, domain := range after {
		previous := old[domain.Name]
		domain.Stamp = previous.Stamp
		if domain.Out != previous.Out {
			domain.Stamp = stamp
		}
		stamped = append(stamped, domain)
	}
	return stamped
}

// writeDocuments writes the index documents of a new revision.
func (c *Committer) writeDocuments(ctx context.Context, next StoredConfig, identity string) error {
	for _, index := range next.Config.Indexes {
		if index.ModRevision != next.Config.Revision {
			continue
		}
		data, err := c.Codec.Encode(wigeonspindle.IndexDocument{Identity: identity, Index: index})
		if err != nil {
			return unavailableRefusal(wigeonspindle.NotRun, err)
		}
		key := wigeonspindle.IndexKey(index.Name, index.ModRevision)
		if refusal := checkSize(key, data); refusal != nil {
			return refusal
		}
		if err := c.writeDocument(ctx, wigeonspindle.Record{Key: key, Value: data}); err != nil {
			return err
		}
	}
	return nil
}

// writeDocument writes one new document. If the answer is lost, it reads the document back.
func (c *Committer) writeDocument(ctx context.Context, record wigeonspindle.Record) error {
	var err error
	for range maxAttempts {
		if _, err = c.Store.CompareAndSwap(ctx, record); err == nil {
			return nil
		}
		var found wigeonspindle.Record
		if found, err = c.Store.Get(ctx, record.Key); err != nil || found.Version == 0 {
			continue
		}
		if bytes.Equal(found.Value, record.Value) {
			return nil
		}
		return errRevisionTaken
	}
	return unavailableRefusal(wigeonspindle.NotRun, errors.Newf("%s was not written: %v", record.Key, err))
}

func checkSize(key string, data []byte) *wigeonspindle.Refusal {
	if len(data) <= MaxDocumentBytes {
		return nil
	}
	return &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeTooLarge, Verdict: wigeonspindle.NotRun, Field: key,
		Message: fmt.Sprintf("got %d bytes, accepted: at most %d", len(data), MaxDocumentBytes),
	}
}

// swapHead puts the new head in force. If the answer is lost, it reads the head and the history
// to find out whether the change was accepted.
func (c *Committer) swapHead(ctx context.Context, next StoredConfig, change wigeonspindle.ConfigChange) (wigeonspindle.HistoryEntry, error) {
	var err error
	for range maxAttempts {
		if _, err = c.Store.CompareAndSwap(ctx, next.Record); err == nil {
			return next.Head.LastEntry, nil
		}
		var record wigeonspindle.Record
		if record, err = c.Store.Get(ctx, wigeonspindle.KeyHead); err != nil || record.Version <= next.Record.Version {
			// The head is unchanged, or the answer is stale. The earlier write may still take
			// effect, so the only safe step is another swap with the same version.
			continue
		}
		var seen StoredConfig
		if err = c.Codec.Decode(record.Value, &seen.Head); err != nil {
			continue
		}
		entry, ok, failure := c.findEntry(ctx, seen, change.Identity)
		if failure != nil {
			err = failure
			continue
		}
		if ok {
			return entry, nil
		}
		return next.Head.LastEntry, conflictRefusal(change.ExpectedRevision, seen.Head.Revision)
	}
	return next.Head.LastEntry, unavailableRefusal(wigeonspindle.MayHaveRun, errors.Newf(
		"the result is not known, propose the change again under identity %q: %v", change.Identity, err))
}
