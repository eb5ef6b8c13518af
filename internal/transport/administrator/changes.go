package administrator

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
)

func (a *Administrator) inventory(c echo.Context) error {
	config, refusal := a.config()
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	return c.JSON(http.StatusOK, encoder.Inventory{Revision: config.Revision, Indexes: nonNil(config.Indexes)})
}

func (a *Administrator) rules(c echo.Context) error {
	config, refusal := a.config()
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	return c.JSON(http.StatusOK, encoder.RulesDocument{Revision: config.Revision, Rules: config.Rules})
}

func (a *Administrator) domains(c echo.Context) error {
	config, refusal := a.config()
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	return c.JSON(http.StatusOK, encoder.DomainList{
		Revision: config.Revision, Domains: nonNil(config.Domains), Overrides: nonNil(a.Host.Status().Overrides),
	})
}

func (a *Administrator) putInventory(c echo.Context) error {
	return a.propose(c, encoder.PartInventory, func(config *wigeonspindle.Config, proposal encoder.Proposal) {
		config.Indexes = proposal.Indexes
		validator.DeclareDomains(config)
	})
}

func (a *Administrator) putRules(c echo.Context) error {
	return a.propose(c, encoder.PartRules, func(config *wigeonspindle.Config, proposal encoder.Proposal) {
		config.Rules = *proposal.Rules
	})
}

// propose applies a proposal to the configuration in force and passes the result to the host.
// It refuses a proposal that is based on another revision.
func (a *Administrator) propose(c echo.Context, part string, apply func(*wigeonspindle.Config, encoder.Proposal)) error {
	dry, refusal := parseDryRun(c)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	data, refusal := readBody(c)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	proposal, refusal := encoder.DecodeProposal(data, part)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	base, refusal := a.configAt(*proposal.ExpectedRevision)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	if proposal.Identity == "" {
		proposal.Identity = rand.Text()
	}
	change := wigeonspindle.ConfigChange{
		Identity: proposal.Identity, ExpectedRevision: *proposal.ExpectedRevision, Author: proposal.Author, Reason: proposal.Reason, Config: base,
	}
	apply(&change.Config, proposal)
	entry, err := a.Host.Propose(c.Request().Context(), change, dry)
	if err != nil {
		return writeError(c, err, wigeonspindle.MayHaveRun)
	}
	entry.Summary = nonNil(entry.Summary)
	return c.JSON(http.StatusOK, encoder.ChangeResult{DryRun: dry, Entry: entry})
}

// configAt returns the configuration in force if it has the expected revision. Revision 0 is
// the empty configuration before the first change.
func (a *Administrator) configAt(expected wigeonspindle.Revision) (wigeonspindle.Config, *wigeonspindle.Refusal) {
	config := wigeonspindle.Config{Rules: validator.DefaultRules()}
	if current := a.Host.Config(); current != nil {
		config = *current
	}
	if config.Revision != expected {
		return config, &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeConflict, Verdict: wigeonspindle.NotRun, Field: "expected",
			Message: fmt.Sprintf("the revision in force on this host is %d, not %d", config.Revision, expected),
		}
	}
	return config, nil
}

func (a *Administrator) putDomain(c echo.Context) error {
	dry, refusal := parseDryRun(c)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	data, refusal := readBody(c)
	if refusal != nil {
		return writeRefusal(c, refusal)
	}
	var proposal encoder.DomainProposal
	if problems := encoder.DecodeAndValidate(data, &proposal); len(problems) > 0 {
		return writeRefusal(c, problems.Refusal())
	}
	name := c.Param("name")
	if refusal := a.checkDomain(name, proposal); refusal != nil {
		return writeRefusal(c, refusal)
	}
	result := encoder.DomainResult{Domain: name, Out: *proposal.Out, DryRun: dry}
	if !dry {
		soft, err := a.Host.SetDomain(c.Request().Context(), name, *proposal.Out, proposal.Author)
		if err != nil {
			return writeError(c, err, wigeonspindle.MayHaveRun)
		}
		result.AwaitsStore = soft
	}
	return c.JSON(http.StatusOK, result)
}

// checkDomain refuses a failure domain that the configuration does not declare, because a
// misspelled name would leave the intended domain in service. It accepts every name while no
// configuration is known.
func (a *Administrator) checkDomain(name string, proposal encoder.DomainProposal) *wigeonspindle.Refusal {
	if proposal.ExpectedRevision != nil {
		if _, refusal := a.configAt(*proposal.ExpectedRevision); refusal != nil {
			return refusal
		}
	}
	config := a.Host.Config()
	declared := func(domain wigeonspindle.Domain) bool { return domain.Name == name }
	if config != nil && !slices.ContainsFunc(config.Domains, declared) {
		return invalidField("name", fmt.Sprintf("got %q, accepted: a failure domain that the configuration declares", name))
	}
	return nil
}

func (a *Administrator) config() (*wigeonspindle.Config, *wigeonspindle.Refusal) {
	if config := a.Host.Config(); config != nil {
		return config, nil
	}
	return nil, &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeUnavailable, Verdict: wigeonspindle.NotRun, Message: "no configuration is known yet",
	}
}

// readBody reads the request body, which limitRequest limits.
func readBody(c echo.Context) ([]byte, *wigeonspindle.Refusal) {
	data, err := io.ReadAll(c.Request().Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeTooLarge, Verdict: wigeonspindle.NotRun,
			Message: fmt.Sprintf("the request body exceeds %d bytes", tooLarge.Limit),
		}
	case err != nil:
		return nil, invalidField("", "the request body was not received: "+err.Error())
	}
	if err := server.StartHandling(c.Request().Context()); err != nil {
		return nil, &wigeonspindle.Refusal{Code: wigeonspindle.CodeOverloaded, Verdict: wigeonspindle.NotRun, Message: err.Error()}
	}
	return data, nil
}

// parseDryRun parses the query parameter dry. It refuses invalid values and unknown parameters,
// because the operator may have meant a dry run.
func parseDryRun(c echo.Context) (bool, *wigeonspindle.Refusal) {
	for name := range c.QueryParams() {
		if name != "dry" {
			return false, invalidField(name, "is not a known query parameter")
		}
	}
	text := c.QueryParam("dry")
	if text == "" && !c.QueryParams().Has("dry") {
		return false, nil
	}
	dry, err := strconv.ParseBool(text)
	if err != nil {
		return false, invalidField("dry", "must be true or false")
	}
	return dry, nil
}

// nonNil returns an empty slice for nil, so that it is encoded in JSON as [] and not as null.
func nonNil[T any](elements []T) []T {
	if elements == nil {
		return []T{}
	}
	return elements
}
