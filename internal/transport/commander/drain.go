package commander

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// drainPeriod is the pause between two looks at a draining host.
const drainPeriod = time.Second

// drainCommand starts the planned stop of a host.
type drainCommand struct {
	connection
	Wait bool `long:"wait" description:"wait until the host has stopped; set --timeout to the longest wait"`
	JSON bool `long:"json" description:"print the answer in JSON"`

	commander *Commander
}

// Execute runs the command.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel := c.with()
	defer cancel()
	var result encoder.DrainResult
	if err := c.call(ctx, http.MethodPost, c.Address, "/drain", nil, &result); err != nil {
		return err
	}
	for c.Wait {
		var status wigeonspindle.Status
		err := c.get(ctx, "/status", &status)
		if ctx.Err() != nil {
			return errors.Newf("the host is still draining after %s", c.Timeout)
		}
		if err != nil {
			break // A host that has stopped does not answer.
		}
		_, _ = fmt.Fprintf(c.commander.Err, "draining: %d queries in progress, %d targets owned\n", status.Queries, len(status.Targets))
		select {
		case <-ctx.Done():
		case <-time.After(drainPeriod):
		}
	}
	if c.JSON {
		return printJSON(c.commander.Out, result)
	}
	_, _ = fmt.Fprintln(c.commander.Out, map[bool]string{false: "the host is draining", true: "the host has stopped"}[c.Wait])
	return nil
}
