// Package launcher assembles a host process. It starts and stops the goroutines of a host
// and connects them by bounded rings.
package launcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/committer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/elector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/validator"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/holder"
	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
	"wigeonspindle.example/wigeonspindle/internal/transport/linker"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
)

// eventCapacity is the number of recent events that a host keeps for its timeline.
const eventCapacity = 16384

// Host runs the queries of its callers and owns a share of the targets of its cell.
type Host struct {
	Settings parser.Settings
	Clock    wigeonspindle.Clock
	Store    wigeonspindle.Store
	Lister   wigeonspindle.HostLister
	Sender   wigeonspindle.Sender
	Meter    wigeonspindle.Meter // Meter is optional.
	Logger   *log.Logger

	self             wigeonspindle.Host
	recorder         *recorder.Recorder
	holder           *holder.Holder
	committer        *committer.Committer
	countingStore    wigeonspindle.Store
	view             atomic.Pointer[wigeonspindle.MembershipView]
	ownership        atomic.Pointer[wigeonspindle.Ownership]
	placement        atomic.Pointer[wigeonspindle.Placement]
	heartbeatContent atomic.Pointer[wigeonspindle.Heartbeat]
	leaving          atomic.Bool
	refusing         atomic.Bool // refusing is set once a stopping host accepts no new requests.
	domainOut        atomic.Bool // domainOut is set once the host's domain has been out of service for longer than AddressTTL.
	inflight         atomic.Int64
	storeCalls       atomic.Uint64
	lastStoreAnswer  atomic.Int64 // lastStoreAnswer is in Unix nanoseconds; 0 before the first answer.
	addressRotation  atomic.Uint64
	queryCounter     atomic.Uint64
	queries          []*queryLoop
	targets          []*targetLoop
	control          *controlLoop
	leases           *leaseLoop
	linker           *linker.Linker
	server           *server.Server
	stop             chan struct{}
	ctx              context.Context // ctx is cancelled when stop is closed.
	cancel           context.CancelFunc
	goroutines       sync.WaitGroup
	stopOnce         sync.Once
	stopped          chan struct{}
	stopErr          error
	cancelStop       context.CancelFunc // cancelStop makes a graceful stop end at once.
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() wigeonspindle.Incarnation {
	var data [8]byte
	_, _ = rand.Read(data[:]) // Read never fails.
	return wigeonspindle.Incarnation(hex.EncodeToString(data[:]))
}

// Run starts the goroutines and the listeners of the host.
func (h *Host) Run() error {
	h.self = h.Settings.Host(NewIncarnation())
	h.stop, h.stopped = make(chan struct{}), make(chan struct{})
	h.ctx, h.cancel = context.WithCancel(context.Background())
	if h.Meter == nil {
		h.Meter = noMeter{}
	}
	h.recorder = &recorder.Recorder{
		Clock: h.Clock, Host: h.self.Name, Domain: h.self.Domain, Capacity: eventCapacity,
		Sink: &recorder.LogSink{Logger: h.Logger},
	}
	h.holder = &holder.Holder{}
	h.countingStore = countingStore{host: h}
	h.committer = &committer.Committer{Store: h.countingStore, Codec: encoder.JSONCodec{}, Validator: validator.New()}
	h.placement.Store(&wigeonspindle.Placement{})
	h.heartbeatContent.Store(&wigeonspindle.Heartbeat{})
	h.addressRotation.Store(randomRotation())
	h.view.Store(&wigeonspindle.MembershipView{Self: h.self})
	h.ownership.Store(&wigeonspindle.Ownership{})
	h.linker = &linker.Linker{
		Self: h.self, Clock: h.Clock, Recorder: h.recorder, Handler: &linkHandler{host: h},
		Heartbeat: h.heartbeat, Logger: h.Logger, OnConnectionRefused: h.reportRefusedConnection, ListenAddress: h.Settings.LinkListenAddress,
	}
	for i := range h.Settings.Workers {
		h.queries = append(h.queries, newQueryLoop(h, i))
		h.targets = append(h.targets, newTargetLoop(h))
	}
	h.control = newControlLoop(h)
	h.leases = newLeaseLoop(h)
	h.server = &server.Server{
		Address: h.self.CallerAddress, Frontend: frontend{host: h}, Clock: h.Clock, Logger: h.Logger,
		Body: h.Settings.MaxBodyBytes, Memory: h.Settings.RequestMemoryMB << 20, Connections: h.Settings.MaxConnections,
	}
	if err := h.linker.Run(); err != nil {
		return err
	}
	for i := range h.Settings.Workers {
		h.start(h.queries[i].run)
		h.start(h.targets[i].run)
	}
	h.start(h.control.run)
	h.start(h.leases.run)
	h.start(newRosterKeeper(h).run)
	h.start(h.pollHostList)
	h.start(h.writeOverrides)
	if err := h.server.Run(); err != nil {
		return errors.CombineErrors(err, h.stopGoroutines())
	}
	h.Logger.Info("host started", "host", h.self.Name, "domain", h.self.Domain, "incarnation", h.self.Incarnation)
	return nil
}

func (h *Host) stopGoroutines() error {
	close(h.stop)
	h.cancel()
	err := h.linker.Close()
	h.goroutines.Wait()
	return err
}

func (h *Host) start(run func()) {
	h.goroutines.Add(1)
	go func() {
		defer h.goroutines.Done()
		run()
	}()
}

func (h *Host) heartbeat() wigeonspindle.Heartbeat {
	heartbeat, roster := *h.heartbeatContent.Load(), h.leases.Roster()
	heartbeat.Host, heartbeat.Leaving, heartbeat.Revision = h.self, h.leaving.Load(), h.holder.Revision()
	heartbeat.Era, heartbeat.Terms = roster.Era, elector.Terms(roster)
	return heartbeat
}
