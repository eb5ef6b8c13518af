package committer

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

// maxDomainAttempts bounds the attempts to change a domain while other changes conflict.
const maxDomainAttempts = 8

// SetDomain changes the state of a failure domain in the configuration in force, whatever its
// revision. A change that is not newer than the domain's last change is not written. The Config
// and ExpectedRevision of the proposal are ignored.
func (c *Committer) SetDomain(ctx context.Context, proposal Proposal, name string, out bool) (wigeonspindle.Config, error) {
	var err error
	for range maxDomainAttempts {
		var current StoredConfig
		if current, err = c.Load(ctx, proposal.Known); err != nil {
			return current.Config, unavailableRefusal(wigeonspindle.NotRun, err)
		}
		if known := proposal.Known; known != nil && known.Revision > current.Config.Revision {
			current.continueFrom(*known)
		}
		i := slices.IndexFunc(current.Config.Domains, func(d wigeonspindle.Domain) bool { return d.Name == name })
		if i < 0 {
			return current.Config, &wigeonspindle.Refusal{
				Code: wigeonspindle.CodeInvalid, Verdict: wigeonspindle.NotRun, Field: "domain",
				Message: fmt.Sprintf("got %q, accepted: a name in domains", name),
			}
		}
		domain := current.Config.Domains[i]
		if domain.Out == out || !domain.Stamp.Less(proposal.Stamp) {
			return current.Config, nil
		}
		attempt := proposal
		attempt.Change.ExpectedRevision = current.Config.Revision
		attempt.Change.Config = current.Config
		attempt.Change.Config.Domains = slices.Clone(current.Config.Domains)
		attempt.Change.Config.Domains[i].Out = out
		var config wigeonspindle.Config
		if _, config, err = c.Commit(ctx, attempt); err == nil {
			return config, nil
		}
		var refusal *wigeonspindle.Refusal
		if !errors.As(err, &refusal) || refusal.Code != wigeonspindle.CodeConflict {
			return current.Config, err
		}
	}
	return wigeonspindle.Config{}, err
}
