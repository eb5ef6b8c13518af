package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/lister"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
	"wigeonspindle.example/wigeonspindle/internal/transport/storer"
)

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 90 * time.Second

// runCommand runs a host until it receives SIGTERM or SIGINT.
type runCommand struct {
	Config string `long:"config" required:"true" description:"settings file in JSON"`

	commander *Commander
}

// Execute runs the command.
func (c *runCommand) Execute([]string) error {
	settings, err := parser.Load(c.Config)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(settings.Level)
	if err != nil {
		return errors.Wrap(err, "settings: level")
	}
	logger := log.NewWithOptions(c.commander.Err, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level,
	})
	targets := &sender.Sender{Clock: systemClock{}}
	host := &launcher.Host{
		Settings: settings, Clock: systemClock{}, Logger: logger, Sender: targets,
		Store: &storer.Storer{Address: settings.Store}, Lister: &lister.Lister{Address: settings.Hosts},
	}
	if err := host.Run(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-host.Done(): // An operator drained the host.
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		<-signals // A second signal ends the graceful shutdown.
		cancel()
	}()
	return errors.CombineErrors(host.Close(ctx), targets.Close())
}
