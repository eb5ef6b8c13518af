package commander

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
)

// checkCommand validates settings, inventory and rules files without applying them.
type checkCommand struct {
	Config    string `long:"config" value-name:"FILE" description:"settings file to check"`
	Inventory string `long:"inventory" value-name:"FILE" description:"inventory to check"`
	Rules     string `long:"rules" value-name:"FILE" description:"rules to check"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Config == "" && c.Inventory == "" && c.Rules == "" {
		return errors.Wrap(errUsage, "at least one of --config, --inventory and --rules is required")
	}
	checks := []struct {
		file  string
		check func(string) error
	}{
		{c.Config, func(file string) error { _, err := parser.LoadSettings(file); return err }},
		{c.Inventory, func(file string) error { _, err := c.commander.readInventory(file); return err }},
		{c.Rules, func(file string) error { _, err := c.commander.readRules(file); return err }},
	}
	var result error
	for _, check := range checks {
		if check.file == "" {
			continue
		}
		if err := check.check(check.file); err != nil {
			_, _ = fmt.Fprintln(c.commander.Err, "error:", err)
			result = errors.New("some files are invalid")
			continue
		}
		_, _ = fmt.Fprintln(c.commander.Out, check.file, "is valid")
	}
	return result
}
