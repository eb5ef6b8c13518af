package linker

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// dialTimeout bounds the time to establish the TCP connection of a link.
const dialTimeout = time.Second

// peer maintains one outgoing stream to a host.
type peer struct {
	linker *Linker
	name   string
	cancel context.CancelFunc
	// addresses are tried in turn, starting with the one that worked last.
	addresses    atomic.Pointer[[]string]
	outbound     *queuer.Ring[*wigeonspindle.Envelope]
	up           atomic.Bool
	lastReceived atomic.Int64 // lastReceived is the arrival time of the last frame in Unix nanoseconds.
}

// maintain opens the link and reopens it whenever it breaks, until ctx ends.
func (p *peer) maintain(ctx context.Context) {
	delay, addressIndex := minRedialDelay, 0
	for ctx.Err() == nil {
		addresses := *p.addresses.Load()
		wasUp, err := p.connect(ctx, addresses[addressIndex%len(addresses)])
		if wasUp {
			delay = minRedialDelay
		} else {
			delay = min(2*delay, maxRedialDelay)
			addressIndex++
		}
		if ctx.Err() == nil && err != nil {
			p.linker.Logger.Debug("link failed", "peer", p.name, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// connect opens the stream and serves it until it breaks. It reports whether the link came
// up.
func (p *peer) connect(ctx context.Context, address string) (bool, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && p.linker.OnConnectionRefused != nil {
			p.linker.OnConnectionRefused(p.name, address)
		}
		return false, errors.Wrapf(err, "dial host %s", p.name)
	}
	conn := drpcconn.NewWithOptions(&deadlineConn{Conn: socket, bytesWritten: &p.linker.bytesWritten}, drpcconn.Options{Manager: messenger.Options()})
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := messenger.NewDRPCLinkClient(conn).Exchange(ctx)
	if err != nil {
		return false, errors.Wrapf(err, "open stream to host %s", p.name)
	}
	p.lastReceived.Store(p.linker.Clock.Now().UnixNano())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.read(stream)
		cancel()
	}()
	err = p.write(ctx, stream)
	cancel()
	_ = conn.Close()
	<-done
	return p.markDown(), err
}

// read receives messages from the host until the stream ends.
func (p *peer) read(stream messenger.DRPCLink_ExchangeClient) {
	heartbeats := &heartbeatDecoder{}
	reply := func(message wigeonspindle.Envelope) bool { return p.outbound.Offer(&message) }
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		p.lastReceived.Store(p.linker.Clock.Now().UnixNano())
		if !p.up.Swap(true) {
			p.linker.Handler.Up(p.name)
		}
		if err := p.linker.deliver(frame, p.name, heartbeats, reply); err != nil {
			p.linker.Logger.Warn("dropped invalid message", "peer", p.name, "error", err)
		}
	}
}

// write sends queued messages and heartbeats. It returns when the host has been silent for
// longer than LinkSilenceTimeout, because a connection can be lost without an error.
func (p *peer) write(ctx context.Context, stream messenger.DRPCLink_ExchangeClient) error {
	ticker := time.NewTicker(wigeonspindle.HeartbeatPeriod)
	defer ticker.Stop()
	heartbeats := &heartbeatEncoder{}
	if err := p.sendHeartbeat(stream, heartbeats); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return errors.Newf("stream to host %s ended", p.name)
		case message := <-p.outbound.C():
			if err := p.send(stream, *message); err != nil {
				// A part of the message may have been written, so it is not reported as unsent.
				return err
			}
		case <-ticker.C:
			silence := p.linker.Clock.Now().Sub(time.Unix(0, p.lastReceived.Load()))
			if silence > wigeonspindle.LinkSilenceTimeout {
				return errors.Newf("host %s was silent for %s", p.name, silence)
			}
			if err := p.sendHeartbeat(stream, heartbeats); err != nil {
				return err
			}
		}
	}
}

func (p *peer) sendHeartbeat(stream messenger.DRPCLink_ExchangeClient, heartbeats *heartbeatEncoder) error {
	heartbeat := heartbeats.omitUnchanged(p.linker.Heartbeat())
	return p.send(stream, wigeonspindle.Envelope{Heartbeat: &heartbeat})
}

func (p *peer) send(stream messenger.DRPCLink_ExchangeClient, message wigeonspindle.Envelope) error {
	frame, err := p.linker.encode(message)
	if err != nil {
		return err
	}
	return stream.Send(frame)
}

// markDown marks the link as down and reports the queued messages as unsent. It returns
// whether the link was up.
func (p *peer) markDown() bool {
	wasUp := p.up.Swap(false)
	unsent := p.outbound.Drain(make([]*wigeonspindle.Envelope, 0, p.outbound.Cap()))
	for _, message := range unsent {
		p.linker.Handler.Unsent(p.name, *message)
	}
	if wasUp {
		p.linker.Handler.Down(p.name)
	}
	return wasUp
}
