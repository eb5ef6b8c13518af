// Package supervisor assembles a host of the platform from its components, and starts and stops
// them in order.
package supervisor

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/balancer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/budgeter"
	"wigeonspindle.example/wigeonspindle/internal/coordination/follower"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/hedger"
	"wigeonspindle.example/wigeonspindle/internal/coordination/noticer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
	"wigeonspindle.example/wigeonspindle/internal/coordination/selector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/throttler"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/registrar"
	"wigeonspindle.example/wigeonspindle/internal/transport/administrator"
	"wigeonspindle.example/wigeonspindle/internal/transport/dispatcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
	"wigeonspindle.example/wigeonspindle/internal/transport/sharer"
	"wigeonspindle.example/wigeonspindle/internal/transport/watcher"
)

// Timeouts and limits of a host.
const (
	// recoveryGrace is how long missing entries are kept after an outage of the registry:
	// replicas register again within about 2 s.
	recoveryGrace = 2200 * time.Millisecond
	// suspicionTTL is how long a call that crashed replicas is refused after its last crash. Users
	// repeat a failed search for minutes rather than hours.
	suspicionTTL = 10 * time.Minute
	// maxSuspects bounds the suspected calls that a host keeps.
	maxSuspects = 1024
	// drainPeriod is the last part of the shutdown grace period, in which the host accepts no more
	// connections and finishes the remaining calls.
	drainPeriod = 800 * time.Millisecond
	// exitMargin is the time reserved between the last answer and the end of the grace period.
	exitMargin = 200 * time.Millisecond
	// replyMargin is the time reserved for writing the last replies before the listeners close the
	// remaining connections.
	replyMargin = 100 * time.Millisecond
	// maxAddresses bounds the hosts in one answer of the directory.
	maxAddresses = 64
	// defaultHeaderBytes and defaultBodyBytes bound a request, and defaultIdleTimeout the idle time
	// of a connection, if the operators configure no limit.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 256 << 10
	defaultIdleTimeout = 2 * time.Minute
	// defaultHeaderTimeout bounds the time to read a header if the operators configure no limit.
	defaultHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a request with its body.
	readTimeout = 30 * time.Second
	// writeTimeout bounds the time from the header of a request to the end of its response. It
	// exceeds the timeout of any route.
	writeTimeout = 10 * time.Minute
	// callerFileShare is the fraction of the unreserved file descriptors that connections of
	// callers may use.
	callerFileShare = 0.4
	// bodyMemoryShare is the fraction of the memory limit that large response bodies may use while they
	// are read. Buffers that grow and the garbage collector need several times as much.
	bodyMemoryShare = 0.1
	// requestMemoryShare is the fraction of the memory limit that large requests and answers of callers may
	// hold. Growing buffers, connections and the garbage collector need several times as much.
	requestMemoryShare = 0.15
	// reservedFiles is the number of file descriptors reserved for files.
	reservedFiles = 200
	// internalConnections bounds the connections of each listener that serves no calls.
	internalConnections = 128
)

// Supervisor runs a host of the platform. It implements wigeonspindle.Directory.
type Supervisor struct {
	Settings parser.GatewaySettings
	Registry wigeonspindle.Registry
	Dialect  wigeonspindle.Dialect
	Clock    wigeonspindle.Clock
	Logger   *log.Logger
	// NewCallerHandler, NewDirectoryHandler and NewReadinessHandler return the handlers of the
	// listeners.
	NewCallerHandler    func(gateway wigeonspindle.Gateway, host *Supervisor) http.Handler
	NewDirectoryHandler func(directory wigeonspindle.Directory) http.Handler
	NewReadinessHandler func(directory wigeonspindle.Directory) http.Handler

	registrar  *registrar.Registrar
	dispatcher *dispatcher.Dispatcher
	watcher    *watcher.Watcher
	sharer     *sharer.Server
	announcer  *watcher.Announcer
	reporter   *watcher.Reporter
	listeners  []*server.Listener // listeners starts with the one for callers.
	leaving    atomic.Bool
	rotation   atomic.Uint64
}

// Run starts the components of the host.
func (s *Supervisor) Run() error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := wigeonspindle.Peer{
		Name: s.Settings.Name, CallerAddress: s.Settings.CallerAddress, LinkAddress: s.Settings.LinkAddress, Domain: s.Settings.Domain, Capacity: s.Settings.CPUCapacity(),
	}
	meter := administrator.NewCallMeter()
	s.registrar = &registrar.Registrar{RecoveryGrace: recoveryGrace, PeerTTL: watcher.LeaseTTL, SelectServing: balancer.ServingHosts}
	s.reporter = &watcher.Reporter{Registry: s.Registry, Clock: s.Clock, Logger: s.Logger}
	s.dispatcher = &dispatcher.Dispatcher{
		Gatherer: &gatherer.Gatherer{
			Selector: &selector.Selector{
				Host: s.Settings.Name, Domain: s.Settings.Domain, Random: random, Noticer: noticer.Noticer{DrainPeriod: s.Settings.DrainPeriod.Value()},
			},
			Throttler:    &throttler.Throttler{Random: random},
			Correlator:   &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: maxSuspects}, SuspicionTTL: suspicionTTL, Host: s.Settings.Name},
			Budget:       &budgeter.Budgeter{Ratio: s.Settings.RetryBudgetRatio, Slack: s.Settings.RetryBudgetSlack, Window: s.Settings.RetryBudgetWindow.Value()},
			NewEstimator: func() wigeonspindle.LatencyEstimator { return &hedger.Estimator{} },
		},
		Self: self, Dialect: s.Dialect, Clock: s.Clock, Meter: meter, Logger: s.Logger,
		ReportSuspicion: s.reporter.Offer, BodyMemory: int64(bodyMemoryShare * float64(s.Settings.MemoryLimitMB<<20)),
	}
	s.watcher = &watcher.Watcher{
		Registry: s.Registry, Registrar: s.registrar, Clock: s.Clock, Logger: s.Logger,
		Follower: &follower.Follower{Self: self, SelectRelays: balancer.RegistryRelays}, OnChange: s.dispatcher.UpdateDeployment,
	}
	s.sharer = &sharer.Server{
		Address: s.Settings.LinkListener(), Registrar: s.registrar, Clock: s.Clock, Logger: s.Logger, Epoch: random.Uint64(),
	}
	s.announcer = &watcher.Announcer{Registry: s.Registry, Logger: s.Logger, Ready: s.Ready, Down: s.watcher.Down, Serving: s.serving, Peer: self}
	s.watcher.OnAvailable, s.watcher.OnRestored = s.announcer.Wake, s.reporter.Restore
	s.watcher.OnCheck, s.announcer.OnAnswer, s.announcer.OnFailure = s.announcer.Check, s.watcher.RecordAnswer, s.watcher.RecordFailure
	s.rotation.Store(random.Uint64())
	s.reporter.Run()
	s.dispatcher.Run()
	if err := s.listen(meter); err != nil {
		s.dispatcher.Close()
		s.reporter.Close()
		return err
	}
	if err := s.sharer.Run(); err != nil {
		s.dispatcher.Close()
		s.reporter.Close()
		return errors.CombineErrors(err, s.closeListeners(context.Background()))
	}
	s.announcer.Run()
	s.watcher.Run()
	s.Logger.Info("host started", "domain", s.Settings.Domain, "callers_listen_address", s.Settings.CallerAddress)
	return nil
}

// listen starts the listeners. After an error, none remains open.
func (s *Supervisor) listen(meter *administrator.CallMeter) error {
	connections := int(callerFileShare * float64(s.Settings.MaxOpenFiles-reservedFiles))
	s.listeners = []*server.Listener{
		{Name: "callers", Address: s.Settings.CallerAddress, Handler: s.NewCallerHandler(s.dispatcher, s), Connections: max(connections, 16)},
		{Name: "directory", Address: s.Settings.DirectoryAddress, Handler: s.NewDirectoryHandler(s), Connections: internalConnections},
		{Name: "readiness", Address: s.Settings.ReadinessAddress, Handler: s.NewReadinessHandler(s), Connections: internalConnections},
		{Name: "metrics", Address: s.Settings.MetricsAddress, Handler: meter.Handler(), Connections: internalConnections},
	}
	s.listeners[0].Limits = s.Limits
	memory := &server.Memory{Limit: int64(requestMemoryShare * float64(s.Settings.MemoryLimitMB<<20))}
	s.listeners[0].Memory = memory
	meter.MeasureRequestMemory(memory.Used)
	for i, listener := range s.listeners {
		listener.ReadTimeout, listener.WriteTimeout, listener.Logger = readTimeout, writeTimeout, s.Logger
		listener.OnDisplaced = func() { meter.CountDisplaced(listener.Name) }
		if err := listener.Run(); err != nil {
			s.listeners = s.listeners[:i]
			return errors.CombineErrors(err, s.closeListeners(context.Background()))
		}
	}
	return nil
}

// Close stops the host: callers are directed to other hosts while their connections are still
// served, and the calls in progress are finished within the grace period.
func (s *Supervisor) Close() error {
	deadline := s.Clock.Now().Add(s.Settings.ShutdownGrace.Value() - exitMargin)
	s.leaving.Store(true)
	s.dispatcher.FinishBy(deadline.Add(-replyMargin))
	s.Logger.Info("host stopping", "grace", s.Settings.ShutdownGrace)
	s.announcer.Close()
	time.Sleep(deadline.Add(-drainPeriod).Sub(s.Clock.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(s.Clock.Now()))
	defer cancel()
	err := s.closeListeners(ctx)
	s.watcher.Close()
	s.sharer.Close()
	s.dispatcher.Close()
	s.reporter.Close()
	s.Logger.Info("host stopped")
	return err
}

func (s *Supervisor) closeListeners(ctx context.Context) error {
	var err error
	for _, listener := range s.listeners {
		err = errors.CombineErrors(err, listener.Close(ctx))
	}
	return err
}

// Leaving reports whether the host is stopping.
func (s *Supervisor) Leaving() bool { return s.leaving.Load() }

// Ready implements wigeonspindle.Directory.
func (s *Supervisor) Ready() bool {
	return !s.leaving.Load() && s.registrar.State().Catalog != nil
}

// serving reports whether callers are directed to this host.
func (s *Supervisor) serving() bool {
	return slices.ContainsFunc(s.registrar.State().ServingPeers, func(peer wigeonspindle.Peer) bool { return peer.Name == s.Settings.Name })
}

// Limits returns the limits of callers: those that the operators configure, and defaults for the
// others.
func (s *Supervisor) Limits() wigeonspindle.CallLimits {
	var limits wigeonspindle.CallLimits
	if catalog := s.registrar.State().Catalog; catalog != nil {
		limits = catalog.Limits
	}
	return wigeonspindle.CallLimits{
		Header:        positiveOr(limits.Header, defaultHeaderBytes),
		Body:          positiveOr(limits.Body, defaultBodyBytes),
		HeaderTimeout: positiveOr(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:   positiveOr(limits.IdleTimeout, defaultIdleTimeout),
	}
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Addresses implements wigeonspindle.Directory. Hosts in the failure domain of the caller come
// first, and at most maxAddresses are returned.
func (s *Supervisor) Addresses(domain string) []string {
	var local, remote []string
	for _, peer := range s.registrar.State().ServingPeers {
		if peer.Name == s.Settings.Name && s.leaving.Load() {
			continue
		}
		if peer.Domain == domain {
			local = append(local, peer.CallerAddress)
		} else {
			remote = append(remote, peer.CallerAddress)
		}
	}
	if len(local)+len(remote) == 0 && s.Ready() {
		local = append(local, s.Settings.CallerAddress) // No host is registered, so callers use this one.
	}
	offset := s.rotation.Add(1)
	addresses := append(rotate(local, offset), rotate(remote, offset)...)
	return addresses[:min(len(addresses), maxAddresses)]
}

// rotate returns a copy of the list rotated left by offset.
func rotate(list []string, offset uint64) []string {
	if len(list) == 0 {
		return nil
	}
	start := int(offset % uint64(len(list)))
	return append(append(make([]string, 0, len(list)), list[start:]...), list[:start]...)
}
