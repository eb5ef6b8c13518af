package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Program is the command-line program that runs an Environment.
type Program struct {
	Out io.Writer
	Err io.Writer
}

type options struct {
	Config string `long:"config" required:"true" description:"settings file in JSON"`
}

// Run runs an Environment until SIGTERM or SIGINT and returns the exit code. It prints the
// addresses and the seed as one line of JSON.
func (p *Program) Run(args []string) int {
	if err := p.run(args); err != nil {
		_, _ = fmt.Fprintln(p.Err, "error:", err)
		return 1
	}
	return 0
}

func (p *Program) run(args []string) error {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		return err
	}
	data, err := os.ReadFile(opts.Config)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	environment := &Environment{}
	if err := encoder.DecodeBytes(data, &environment.Settings); err != nil {
		return errors.Wrapf(err, "settings %s", opts.Config)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	addresses, err := environment.Run()
	if err != nil {
		return err
	}
	if err := json.NewEncoder(p.Out).Encode(addresses); err != nil {
		return errors.CombineErrors(err, environment.Close())
	}
	<-signals
	return environment.Close()
}
