// Package commander implements the wigeonspindle command line. Each command has its own file.
package commander

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"wigeonspindle.example/wigeonspindle"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailure  = 1 // ExitFailure means that the command failed and changed nothing.
	ExitUsage    = 2 // ExitUsage means that the command line is invalid.
	ExitConflict = 3 // ExitConflict means that the expected revision is not the current one.
	ExitUnknown  = 4 // ExitUnknown means that the change may have taken effect.
	ExitPartial  = 5 // ExitPartial means that some hosts did not answer.
)

// exitCodesHelp is printed after the list of commands.
const exitCodesHelp = `Exit codes:
  0  success
  1  failure; nothing was changed
  2  wrong command line
  3  conflict: the expected revision is not the current one; nothing was changed
  4  unknown: the change may have taken effect; look at the history
  5  partial: some hosts did not answer
`

// errPartial marks the error of a command whose result is incomplete because some hosts did
// not answer.
var errPartial = errors.New("some hosts did not answer")

// errUsage marks command-line errors that the flags library does not detect.
var errUsage = errors.New("invalid command line, see wigeonspindle --help")

// Commander parses and executes a command line with the given standard streams.
type Commander struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run parses and executes a command line and returns the exit code.
func (c *Commander) Run(args []string) int {
	parser := flags.NewNamedParser("wigeonspindle", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Query tier between callers and index shards"
	c.addCommands(parser)
	_, err := parser.ParseArgs(args)
	return c.report(parser, err)
}

func (c *Commander) addCommands(parser *flags.Parser) {
	addCommand(parser.Command, "run", "Run a host", &runCommand{commander: c})
	addCommand(parser.Command, "check", "Check files without using them", &checkCommand{commander: c})
	inventory := addCommand(parser.Command, "inventory", "Read or change indexes and targets", &struct{}{})
	addCommand(inventory, "get", "Print the inventory in force", &inventoryGetCommand{commander: c})
	addCommand(inventory, "put", "Put an inventory in force", &inventoryPutCommand{commander: c})
	addCommand(inventory, "diff", "Check an inventory and print what it would change", &inventoryDiffCommand{commander: c})
	rules := addCommand(parser.Command, "rules", "Read or change the rules", &struct{}{})
	addCommand(rules, "get", "Print the rules in force", &rulesGetCommand{commander: c})
	addCommand(rules, "put", "Put rules in force", &rulesPutCommand{commander: c})
	addCommand(rules, "diff", "Check rules and print what they would change", &rulesDiffCommand{commander: c})
	addCommand(parser.Command, "history", "Print the accepted changes, the newest first", &historyCommand{commander: c})
	domain := addCommand(parser.Command, "domain", "Take a failure domain out of service or bring it back", &struct{}{})
	addCommand(domain, "out", "Take a failure domain out of service", &domainOutCommand{commander: c})
	addCommand(domain, "in", "Bring a failure domain back into service", &domainInCommand{commander: c})
	addCommand(parser.Command, "drain", "Start the planned stop of a host", &drainCommand{commander: c})
	addCommand(parser.Command, "status", "Print the state of a host", &statusCommand{commander: c})
	addCommand(parser.Command, "timeline", "Print the merged events of all hosts", &timelineCommand{commander: c})
	addCommand(parser.Command, "example", "Print an example file of a deployment", &exampleCommand{commander: c})
	addCommand(parser.Command, "demo", "Run a demonstration in this process", &demoCommand{commander: c})
	addCommand(parser.Command, "load", "Measure the system and a baseline under load", &loadCommand{commander: c})
	addCommand(parser.Command, "version", "Print the version", &versionCommand{commander: c})
}

// report prints the help text or an error and returns the exit code.
func (c *Commander) report(parser *flags.Parser, err error) int {
	var flagsErr *flags.Error
	var refusal *wigeonspindle.Refusal
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(c.Out, flagsErr.Message)
		if parser.Active == nil {
			_, _ = fmt.Fprint(c.Out, exitCodesHelp)
		}
		return ExitOK
	case errors.As(err, &flagsErr):
		_, _ = fmt.Fprintln(c.Err, "error:", strings.TrimSpace(flagsErr.Message))
		return ExitUsage
	}
	_, _ = fmt.Fprintln(c.Err, "error:", err)
	if errors.As(err, &refusal) && len(refusal.Faults) > 1 {
		for _, fault := range refusal.Faults {
			_, _ = fmt.Fprintf(c.Err, "  %s: %s\n", fault.Field, fault.Message)
		}
	}
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errPartial):
		return ExitPartial
	case !errors.As(err, &refusal):
		return ExitFailure
	case refusal.Verdict != wigeonspindle.NotRun:
		return ExitUnknown
	case refusal.Code == wigeonspindle.CodeConflict:
		return ExitConflict
	}
	return ExitFailure
}

func addCommand(parent *flags.Command, name, short string, command any) *flags.Command {
	added, err := parent.AddCommand(name, short, "", command)
	if err != nil {
		panic(err) // Only an invalid option definition causes an error.
	}
	return added
}
