package commander

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// drainPollInterval is the interval between status requests to a draining host.
const drainPollInterval = time.Second

// drainCommand starts draining a host and optionally waits until the host has stopped.
type drainCommand struct {
	clientOptions
	Wait bool `long:"wait" description:"wait until the host has stopped; set --timeout to the longest wait"`
	JSON bool `long:"json" description:"print the answer in JSON"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel := c.withTimeout()
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
			break // A stopped host does not answer.
		}
		_, _ = fmt.Fprintf(c.commander.Err, "draining: %d queries in progress, %d targets owned\n", status.Queries, len(status.Targets))
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
	if c.JSON {
		return printJSON(c.commander.Out, result)
	}
	_, _ = fmt.Fprintln(c.commander.Out, map[bool]string{false: "the host is draining", true: "the host has stopped"}[c.Wait])
	return nil
}
