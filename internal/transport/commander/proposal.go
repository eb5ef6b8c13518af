package commander

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// fileArgument is the positional argument that names the file of a proposed change.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"file in JSON; - means standard input"`
}

// proposalOptions holds the options of commands that propose a configuration change.
type proposalOptions struct {
	clientOptions
	Expected *uint64 `long:"expected" description:"revision on which the change is based; default: the revision in FILE"`
	Author   string  `long:"author" env:"USER" description:"who makes the change"`
	JSON     bool    `long:"json" description:"print the answer in JSON"`
}

// readFile returns the content of a file, or of standard input if the name is "-".
func (c *Commander) readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(c.In)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	return data, errors.Wrap(err, "read file")
}

// readInventory reads and validates an inventory. Its failure domains count as declared,
// because a host declares them when it accepts the inventory.
func (c *Commander) readInventory(name string) (encoder.Inventory, error) {
	var inventory encoder.Inventory
	if err := c.readDocument(name, &inventory); err != nil {
		return inventory, err
	}
	config := wigeonspindle.Config{Rules: validator.DefaultRules(), Indexes: inventory.Indexes}
	validator.DeclareDomains(&config)
	if faults := validator.New().Check(config); len(faults) > 0 {
		return inventory, errors.Wrapf(encoder.Faults(faults), "%s", name)
	}
	return inventory, nil
}

// readRules reads and validates rules.
func (c *Commander) readRules(name string) (encoder.RulesDocument, error) {
	var rules encoder.RulesDocument
	return rules, c.readDocument(name, &rules)
}

func (c *Commander) readDocument(name string, value any) error {
	data, err := c.readFile(name)
	if err != nil {
		return err
	}
	if problems := encoder.DecodeAndValidate(data, value); len(problems) > 0 {
		return errors.Wrapf(problems, "%s", name)
	}
	return nil
}

// proposeInventory proposes the inventory in a file as a configuration change.
func (c *Commander) proposeInventory(options proposalOptions, file, reason string, dry bool) error {
	document, err := c.readInventory(file)
	if err != nil {
		return err
	}
	proposal := encoder.Proposal{Indexes: document.Indexes, Reason: reason}
	return c.propose(options, "/inventory", document.Revision, proposal, dry)
}

// proposeRules proposes the rules in a file as a configuration change.
func (c *Commander) proposeRules(options proposalOptions, file, reason string, dry bool) error {
	document, err := c.readRules(file)
	if err != nil {
		return err
	}
	proposal := encoder.Proposal{Rules: &document.Rules, Reason: reason}
	return c.propose(options, "/rules", document.Revision, proposal, dry)
}

// propose sends a proposal to a host and prints the resulting history entry. The identity is
// generated here and printed if the outcome is unknown, so that the operator can look for the
// change in the history.
func (c *Commander) propose(options proposalOptions, path string, revision wigeonspindle.Revision, proposal encoder.Proposal, dry bool) error {
	if options.Expected != nil {
		revision = wigeonspindle.Revision(*options.Expected)
	}
	proposal.ExpectedRevision, proposal.Author, proposal.Identity = &revision, options.Author, rand.Text()
	if dry {
		path += "?dry=true"
	}
	ctx, cancel := options.withTimeout()
	defer cancel()
	var result encoder.ChangeResult
	err := options.call(ctx, http.MethodPut, options.Address, path, proposal, &result)
	var refusal *wigeonspindle.Refusal
	if errors.As(err, &refusal) && refusal.Verdict != wigeonspindle.NotRun && !dry {
		_, _ = fmt.Fprintf(c.Err, "the change has the identity %s; it took effect if the history lists it\n", proposal.Identity)
	}
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(c.Out, result)
	}
	c.printChange(result)
	return nil
}

func (c *Commander) printChange(result encoder.ChangeResult) {
	if result.DryRun {
		_, _ = fmt.Fprintln(c.Out, "accepted in a dry run; nothing was changed")
	} else {
		_, _ = fmt.Fprintf(c.Out, "revision %d is accepted\n", result.Entry.Revision)
	}
	for _, line := range result.Entry.Summary {
		_, _ = fmt.Fprintln(c.Out, "  "+line)
	}
}
