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
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/administrator"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/lister"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
	"wigeonspindle.example/wigeonspindle/internal/transport/storer"
)

const (
	// shutdownTimeout bounds a graceful shutdown.
	shutdownTimeout = 90 * time.Second
	// apiShutdownTimeout bounds the wait for operators' requests in progress at the end of a
	// shutdown.
	apiShutdownTimeout = 2 * time.Second
)

// runCommand runs a host until it receives SIGTERM or SIGINT or an operator drains it.
type runCommand struct {
	Config string `long:"config" required:"true" value-name:"FILE" description:"settings file in JSON"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	settings, err := parser.LoadSettings(c.Config)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return errors.Wrap(err, "settings: level")
	}
	logger := log.NewWithOptions(c.commander.Err, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level,
	})
	targetSender := &sender.Sender{Clock: timekeeper.SystemClock{}}
	meter := administrator.NewMeter(timekeeper.SystemClock{})
	host := &launcher.Host{
		Settings: settings, Clock: timekeeper.SystemClock{}, Logger: logger, Sender: targetSender, Meter: meter,
		Store: &storer.Storer{Address: settings.StoreAddress}, Lister: &lister.Lister{Address: settings.HostListAddress},
	}
	meter.Host = host
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := host.Run(); err != nil {
		return err
	}
	api := &administrator.Administrator{
		Address: settings.AdminAddress, Token: string(settings.Token), Host: host, Meter: meter, Clock: timekeeper.SystemClock{}, Logger: logger,
	}
	if err := api.Run(); err != nil {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel() // No operator can reach the host, so it has no requests to finish and need not drain.
		return errors.CombineErrors(err, errors.CombineErrors(host.Close(cancelled), targetSender.Close()))
	}
	select {
	case <-signals:
	case <-host.Done(): // An operator drained the host.
	}
	return shutDown(host, api, targetSender, signals, logger)
}

// shutDown drains and stops a host. The operators' listener stays open until the host has
// stopped, so that operators can follow the drain.
func shutDown(host *launcher.Host, api *administrator.Administrator, targetSender *sender.Sender, signals <-chan os.Signal, logger *log.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals: // A second signal aborts the graceful shutdown.
			cancel()
		case <-ctx.Done():
		}
	}()
	err := host.Close(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), apiShutdownTimeout)
	defer cancelClose()
	err = errors.CombineErrors(err, api.Close(closeCtx))
	err = errors.CombineErrors(err, targetSender.Close())
	logger.Info("host stopped")
	return err
}
