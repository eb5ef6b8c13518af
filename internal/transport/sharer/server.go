// Package sharer relays the state of the registry from host to host over DRPC, so that the number
// of calls to the registry does not grow with the number of hosts.
package sharer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/follower"
	"wigeonspindle.example/wigeonspindle/internal/protocol/converter"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
	"wigeonspindle.example/wigeonspindle/internal/state/registrar"
)

const (
	// maxWait bounds how long a request waits for a change.
	maxWait = 10 * time.Second
	// maxFollowers bounds the connections from hosts that follow this one.
	maxFollowers = 256
)

// errorCodes are the codes under which errors are sent to the hosts that follow this one.
var errorCodes = map[uint64]error{1: wigeonspindle.ErrStale, 2: wigeonspindle.ErrUnsettled}

// encodeError returns an error that the client recognises.
func encodeError(err error) error {
	for code, known := range errorCodes {
		if errors.Is(err, known) {
			return drpcerr.WithCode(err, code)
		}
	}
	return err
}

// decodeError returns the error of which the server has sent the code, or nil if it has sent none.
func decodeError(err error) error { return errorCodes[drpcerr.Code(err)] }

// Server serves the state of the registry to the hosts that follow this one.
type Server struct {
	Address   string
	Registrar *registrar.Registrar
	Clock     wigeonspindle.Clock
	Logger    *log.Logger
	// Epoch is a random number that identifies the run of the host's process.
	Epoch uint64

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Run listens and serves in the background.
func (s *Server) Run() error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for hosts on %s", s.Address)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterRelay(mux, s); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "register the relay service"), listener.Close())
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: messenger.RelayServerOptions()})
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		if err := server.Serve(ctx, netutil.LimitListener(listener, maxFollowers)); err != nil && ctx.Err() == nil {
			s.Logger.Error("listener failed", "listener", "hosts", "error", err)
		}
	}()
	return nil
}

// Close stops the server and waits for it.
func (s *Server) Close() {
	s.cancel()
	s.done.Wait()
}

// Follow implements the Relay service.
func (s *Server) Follow(ctx context.Context, request *messenger.FollowRequest) (*messenger.FollowReply, error) {
	// The era is read first: content of a later era does no harm, one of an earlier era would.
	reply := &messenger.FollowReply{Epoch: s.Epoch, Era: s.Registrar.Era()}
	var updates []wigeonspindle.RegistryUpdate
	switch {
	case request.GetWhole():
		updates, reply.Position = s.Registrar.AllUpdates()
	case request.GetEpoch() != s.Epoch:
		reply.Lost = true
	default:
		var available bool
		updates, reply.Position, available = s.waitForChanges(ctx, request.GetAfter(), time.Duration(request.GetWait()))
		reply.Lost = !available
	}
	now := s.Clock.Now()
	age := now.Sub(s.Registrar.State().RegistrySeen)
	switch {
	case age >= follower.MaxAge || !s.Registrar.Available():
		return nil, encodeError(wigeonspindle.ErrStale)
	case request.GetWhole() && !s.Registrar.Settled():
		// The state may hold entries that a host with a newer one knows to be gone. Changes are passed on:
		// a host that follows them holds the same entries.
		return nil, encodeError(wigeonspindle.ErrUnsettled)
	}
	reply.Age = int64(age)
	var err error
	reply.Changes, err = converter.EncodeUpdates(updates, now)
	return reply, err
}

// waitForChanges returns the changes after a position and the position of the last one. It waits for the first change
// or another answer of the registry, but only until the state is too old to be passed on. It returns false when the
// changes are no longer held.
func (s *Server) waitForChanges(ctx context.Context, after uint64, wait time.Duration) ([]wigeonspindle.RegistryUpdate, uint64, bool) {
	answered := s.Registrar.NextAnswer()
	untilOld := s.Registrar.State().RegistrySeen.Add(follower.MaxAge).Sub(s.Clock.Now())
	timer := time.NewTimer(max(min(wait, maxWait, untilOld), 0))
	defer timer.Stop()
	for {
		updates, position, available, next := s.Registrar.ChangesSince(after)
		if len(updates) > 0 || !available {
			return updates, position, available
		}
		select {
		case <-next:
		case <-answered:
			updates, position, available, _ = s.Registrar.ChangesSince(after)
			return updates, position, available
		case <-timer.C:
			return nil, position, true
		case <-ctx.Done():
			return nil, position, true
		}
	}
}
