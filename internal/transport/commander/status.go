package commander

import (
	"fmt"
	"io"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// statusCommand prints the state of a host.
type statusCommand struct {
	clientOptions
	JSON bool `long:"json" description:"print the answer in JSON"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := c.withTimeout()
	defer cancel()
	var status wigeonspindle.Status
	if err := c.get(ctx, "/status", &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.commander.Out, status)
	}
	printStatus(c.commander.Out, status)
	return nil
}

func printStatus(out io.Writer, status wigeonspindle.Status) {
	state := "ready"
	switch {
	case status.Leaving:
		state = "draining"
	case !status.Ready:
		state = "not ready: " + status.NotReadyReason
	}
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("host      %s (domain %s, cell %s, incarnation %s)", status.Host.Name, status.Host.Domain, status.Host.Cell, status.Host.Incarnation)
	line("state     %s", state)
	line("revision  %d", status.Revision)
	line("queries   %d in progress", status.Queries)
	if !status.StoreAnsweredAt.IsZero() {
		line("store     last answered at %s", status.StoreAnsweredAt.UTC().Format(time.RFC3339))
	}
	line("roster    era %d, %d seats", status.Roster.Era, len(status.Roster.Seats))
	for _, override := range status.Overrides {
		line("override  domain %s out=%t by %s, expires %s", override.Domain, override.Out, override.Author, override.Expires.UTC().Format(time.RFC3339))
	}
	for _, member := range status.Members {
		line("member    %-16s %-8s domain %s, operators' address %s", member.Host.Name, member.Condition, member.Host.Domain, member.Host.AdminAddress)
	}
	for _, target := range status.Targets {
		line("target    %-24s domain %s, level %.2f, %d running, %d waiting", target.Target, target.Domain, target.Load.Level, target.Load.Running, target.Load.Waiting)
	}
	for _, ring := range status.Rings {
		line("ring      %-16s %d of %d", ring.Ring, ring.Waiting, ring.Capacity)
	}
}
