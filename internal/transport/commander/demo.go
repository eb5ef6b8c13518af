package commander

import (
	"context"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/transport/loader"
)

// demoTimeout bounds the demonstration.
const demoTimeout = 60 * time.Second

// demoCommand runs hosts and stand-ins in this process and prints what queries see.
type demoCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the arrivals and of the stand-ins"`

	commander *Commander
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return loader.Demonstrate(ctx, c.commander.Out, c.Seed)
}
