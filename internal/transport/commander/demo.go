package commander

import (
	"context"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/transport/loader"
)

// demoTimeout bounds the duration of the demonstration.
const demoTimeout = 60 * time.Second

// demoCommand runs hosts and simulated external systems in this process and prints a table
// of latency, coverage and extra load.
type demoCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the arrivals and of the stand-ins"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return loader.Demonstrate(ctx, c.commander.Out, c.Seed)
}
