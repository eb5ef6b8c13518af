package commander

import (
	"fmt"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// historyCommand prints the accepted configuration changes, newest first.
type historyCommand struct {
	clientOptions
	JSON bool `long:"json" description:"print the answer in JSON"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := c.withTimeout()
	defer cancel()
	var list encoder.HistoryList
	if err := c.get(ctx, "/history", &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.commander.Out, list)
	}
	for _, entry := range list.Entries {
		_, _ = fmt.Fprintf(c.commander.Out, "%d  %s  %s  %s  (%s)\n",
			entry.Revision, entry.At.UTC().Format(time.RFC3339), entry.Author, entry.Reason, entry.Identity)
		for _, line := range entry.Summary {
			_, _ = fmt.Fprintln(c.commander.Out, "    "+line)
		}
	}
	return nil
}
