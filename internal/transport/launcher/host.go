// Package launcher assembles a host process: it joins the duties of a host by bounded
// rings and starts and stops them.
package launcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/elector"
	"wigeonspindle.example/wigeonspindle/internal/protocol/parser"
	"wigeonspindle.example/wigeonspindle/internal/state/holder"
	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
	"wigeonspindle.example/wigeonspindle/internal/transport/linker"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
)

// eventSize is the number of events that a host keeps for the time line.
const eventSize = 16384

// Host is one process of the query tier.
type Host struct {
	Settings parser.Settings
	Clock    wigeonspindle.Clock
	Store    wigeonspindle.Store
	Lister   wigeonspindle.Lister
	Sender   wigeonspindle.Sender
	Logger   *log.Logger

	self      wigeonspindle.Host
	recorder  *recorder.Recorder
	holder    *holder.Holder
	view      atomic.Pointer[wigeonspindle.View]
	ownership atomic.Pointer[wigeonspindle.Ownership]
	leaving   atomic.Bool
	nextQuery atomic.Uint64
	queries   []*queryLoop
	targets   []*targetLoop
	control   *controlLoop
	leases    *leaseLoop
	linker    *linker.Linker
	server    *server.Server
	stop      chan struct{}
	duties    sync.WaitGroup
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() wigeonspindle.Incarnation {
	var data [8]byte
	_, _ = rand.Read(data[:]) // Read never fails.
	return wigeonspindle.Incarnation(hex.EncodeToString(data[:]))
}

// Run starts the duties of the host.
func (h *Host) Run() error {
	h.self = h.Settings.Host(NewIncarnation())
	h.stop = make(chan struct{})
	h.recorder = &recorder.Recorder{Clock: h.Clock, Host: h.self.Name, Domain: h.self.Domain, Size: eventSize}
	h.holder = &holder.Holder{}
	h.view.Store(&wigeonspindle.View{Self: h.self})
	h.ownership.Store(&wigeonspindle.Ownership{})
	h.linker = &linker.Linker{
		Self: h.self, Clock: h.Clock, Recorder: h.recorder, Handler: &linkHandler{host: h},
		Heartbeat: h.heartbeat, Logger: h.Logger,
	}
	for i := range h.Settings.Workers {
		h.queries = append(h.queries, newQueryLoop(h, i))
		h.targets = append(h.targets, newTargetLoop(h))
	}
	h.control = newControlLoop(h)
	h.leases = newLeaseLoop(h)
	h.server = &server.Server{Address: h.self.Caller, Frontend: h, Clock: h.Clock, Logger: h.Logger}
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
	h.start(h.control.watch)
	h.start(h.control.poll)
	if err := h.server.Run(); err != nil {
		return errors.CombineErrors(err, h.stopDuties())
	}
	h.Logger.Info("host started", "host", h.self.Name, "domain", h.self.Domain, "incarnation", h.self.Incarnation)
	return nil
}

// Close stops the host gracefully: it announces that it leaves, keeps its listener until
// address answers that name it have expired, finishes its requests and waits for every
// duty. It stops at once when ctx ends.
func (h *Host) Close(ctx context.Context) error {
	h.leaving.Store(true)
	h.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventDrain})
	select {
	case <-ctx.Done():
	case <-time.After(wigeonspindle.DrainDelay):
	}
	err := h.server.Close(ctx)
	return errors.CombineErrors(err, h.stopDuties())
}

func (h *Host) stopDuties() error {
	close(h.stop)
	err := h.linker.Close()
	h.duties.Wait()
	return err
}

func (h *Host) start(duty func()) {
	h.duties.Add(1)
	go func() {
		defer h.duties.Done()
		duty()
	}()
}

// Addresses answers a caller that asks where to connect.
func (h *Host) Addresses(domain string) wigeonspindle.AddressAnswer {
	answer := wigeonspindle.AddressAnswer{TTL: wigeonspindle.Duration(wigeonspindle.AddressTTL)}
	for _, member := range h.view.Load().Members {
		if member.Condition != wigeonspindle.Live {
			continue
		}
		address := wigeonspindle.Address{
			Address: member.Host.Caller, Domain: member.Host.Domain, Incarnation: member.Host.Incarnation,
		}
		if address.Domain == domain {
			answer.Addresses = append([]wigeonspindle.Address{address}, answer.Addresses...)
		} else {
			answer.Addresses = append(answer.Addresses, address)
		}
	}
	return answer
}

func (h *Host) heartbeat() wigeonspindle.Heartbeat {
	roster := h.leases.Roster()
	return wigeonspindle.Heartbeat{
		Host: h.self, Leaving: h.leaving.Load(), Revision: h.holder.Revision(),
		Era: roster.Era, Terms: elector.Terms(roster),
	}
}
