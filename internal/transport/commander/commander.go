// Package commander is the command line of wigeonspindle. Each command has its own file.
package commander

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Commander runs one command line.
type Commander struct {
	Out io.Writer
	Err io.Writer
}

// Run parses and executes a command line and returns the exit code.
func (c *Commander) Run(args []string) int {
	parser := flags.NewNamedParser("wigeonspindle", flags.HelpFlag|flags.PassDoubleDash)
	c.add(parser, "run", "Run a host", &runCommand{commander: c})
	c.add(parser, "demo", "Run a demonstration in this process", &demoCommand{commander: c})
	c.add(parser, "load", "Measure the system and a baseline under load", &loadCommand{commander: c})
	c.add(parser, "version", "Print the version", &versionCommand{commander: c})
	_, err := parser.ParseArgs(args)
	var parse *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &parse) && parse.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(c.Out, parse.Message)
		return ExitOK
	case errors.As(err, &parse):
		_, _ = fmt.Fprintln(c.Err, parse.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(c.Err, "error:", err)
	return ExitFailure
}

func (c *Commander) add(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, "", command); err != nil {
		panic(err) // A command with a malformed option is a programming error.
	}
}

// systemClock implements wigeonspindle.Clock.
type systemClock struct{}

// Now returns the current time with a monotonic reading.
func (systemClock) Now() time.Time { return time.Now() }
