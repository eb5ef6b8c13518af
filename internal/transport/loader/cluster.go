package loader

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/launcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/lister"
	"wigeonspindle.example/wigeonspindle/internal/transport/requester"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
	"wigeonspindle.example/wigeonspindle/internal/transport/storer"
)

const (
	// readyTimeout bounds the wait for a new cluster to serve every index.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 100 * time.Millisecond
	// token is the operators' token on the hosts.
	token = "experiment-on-loopback-addresses"
)

// cluster is an in-process query tier: its hosts and the simulated external systems.
type cluster struct {
	deployment  Deployment
	environment *simulator.Environment
	hosts       []*launcher.Host
	senders     []*sender.Sender
	callers     []*requester.Requester
}

// runCluster starts the simulated systems and the hosts, and waits until every index is served
// completely.
func runCluster(ctx context.Context, deployment Deployment, seed uint64) (*cluster, error) {
	c := &cluster{deployment: deployment}
	var addresses simulator.Addresses
	var err error
	c.environment, addresses, err = runEnvironment(deployment, seed)
	if err != nil {
		return nil, err
	}
	if err = c.runHosts(addresses); err == nil {
		err = c.configure(ctx, addresses)
	}
	if err == nil {
		err = c.waitReady(ctx)
	}
	if err != nil {
		return nil, errors.CombineErrors(err, c.close())
	}
	return c, nil
}

func runEnvironment(deployment Deployment, seed uint64) (*simulator.Environment, simulator.Addresses, error) {
	environment := &simulator.Environment{Settings: simulator.Settings{Seed: seed, Groups: deployment.Groups}}
	addresses, err := environment.Run()
	return environment, addresses, err
}

func (c *cluster) runHosts(addresses simulator.Addresses) error {
	var listings []wigeonspindle.ListedHost
	var settings []parser.Settings
	free := simulator.ReservedAddresses(3 * c.deployment.Hosts)
	for i := range c.deployment.Hosts {
		settings = append(settings, parser.Settings{
			Name: fmt.Sprintf("host-%02d", i), Domain: c.deployment.Domains[i%len(c.deployment.Domains)], Cell: "main",
			CallerAddress: free[3*i], LinkAddress: free[3*i+1], AdminAddress: free[3*i+2], Token: token,
			StoreAddress: addresses.Store, HostListAddress: addresses.Hosts, Workers: c.deployment.Workers, LogLevel: "error",
			MaxBodyBytes: 1 << 20, MaxConnections: 4096,
		})
		listings = append(listings, wigeonspindle.ListedHost{Name: settings[i].Name, LinkAddress: settings[i].LinkAddress})
	}
	c.environment.Hosts.Set(listings)
	for _, s := range settings {
		targetSender := &sender.Sender{Clock: timekeeper.SystemClock{}}
		host := &launcher.Host{
			Settings: s, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), Sender: targetSender,
			Store: &storer.Storer{Address: s.StoreAddress}, Lister: &lister.Lister{Address: s.HostListAddress},
		}
		if err := host.Run(); err != nil {
			return err
		}
		c.hosts, c.senders = append(c.hosts, host), append(c.senders, targetSender)
	}
	for _, domain := range c.deployment.Domains {
		c.callers = append(c.callers, &requester.Requester{
			Seeds: c.seeds(), Domain: domain, Caller: "caller-" + domain, Clock: timekeeper.SystemClock{},
		})
	}
	return nil
}

func (c *cluster) seeds() []string {
	var seeds []string
	for _, host := range c.hosts {
		seeds = append(seeds, host.Settings.CallerAddress)
	}
	return seeds
}

// configure writes the first configuration.
func (c *cluster) configure(ctx context.Context, addresses simulator.Addresses) error {
	config := wigeonspindle.Config{Rules: c.deployment.Rules, Indexes: addresses.Indexes}
	for _, domain := range c.deployment.Domains {
		config.Domains = append(config.Domains, wigeonspindle.Domain{Name: domain})
	}
	return Seed(ctx, addresses.Store, config)
}

// waitReady waits until a caller in each failure domain gets a complete answer from every
// index.
func (c *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, caller := range c.callers {
		for _, group := range c.deployment.Groups {
			for {
				answer := caller.Query(ctx, encoder.QueryRequest{
					Index: group.Index, Body: "ready", Budget: wigeonspindle.Duration(c.deployment.Budget),
				})
				if answer.Refusal == nil && answer.Coverage.Complete() {
					break
				}
				select {
				case <-ctx.Done():
					return errors.Newf("index %s is not served completely: coverage %d of %d, refusal %v",
						group.Index, answer.Coverage.Answered, answer.Coverage.Total, answer.Refusal)
				case <-time.After(readyPollInterval):
				}
			}
		}
	}
	return nil
}

// setDomain takes a failure domain out of service or returns it to service, as an operator
// would.
func (c *cluster) setDomain(ctx context.Context, domain string, out bool) error {
	_, err := c.hosts[0].SetDomain(ctx, domain, out, "experiment")
	return err
}

// close stops the hosts without draining, then the simulated systems.
func (c *cluster) close() error {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, caller := range c.callers {
		_ = caller.Close()
	}
	closed := make(chan struct{}, len(c.hosts))
	for _, host := range c.hosts {
		go func() {
			// Close returns an error because the context is cancelled; the hosts need not drain.
			_ = host.Close(cancelled)
			closed <- struct{}{}
		}()
	}
	for range c.hosts {
		<-closed
	}
	for _, targetSender := range c.senders {
		_ = targetSender.Close()
	}
	return c.environment.Close()
}
