// Package linker carries messages between hosts over drpc. Each host keeps one stream to
// each peer; a reply returns on the stream on which its message arrived.
package linker

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/converter"
	"wigeonspindle.example/wigeonspindle/internal/protocol/messenger"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// outboundQueueCapacity limits the messages that wait for one link. The ring holds pointers:
// messages stored by value made an idle link use 1.8 MB on its two hosts together.
const outboundQueueCapacity = 4096

// Linker implements wigeonspindle.Link.
type Linker struct {
	Self      wigeonspindle.Host
	Clock     wigeonspindle.Clock
	Recorder  wigeonspindle.Recorder
	Handler   wigeonspindle.LinkHandler
	Heartbeat func() wigeonspindle.Heartbeat
	// ListenAddress is the address to listen on; empty means Self.LinkAddress, which is
	// advertised to other hosts.
	ListenAddress string
	Logger        *log.Logger
	// OnConnectionRefused, if set, is called when an address of a host refuses a connection.
	// It must not block.
	OnConnectionRefused func(host, address string)

	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	bytesWritten atomic.Uint64
	listener     net.Listener
	mutex        sync.Mutex
	peers        map[string]*peer
}

// Run starts to listen for other hosts and to accept their streams.
func (l *Linker) Run() error {
	address := cmp.Or(l.ListenAddress, l.Self.LinkAddress)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for hosts on %s", address)
	}
	l.listener = &limitListener{Listener: listener, slots: make(chan struct{}, maxInboundConnections), bytesWritten: &l.bytesWritten}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.mutex.Lock()
	l.peers = make(map[string]*peer)
	l.mutex.Unlock()
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterLink(mux, &acceptor{linker: l}); err != nil {
		return errors.Wrap(err, "register link service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: messenger.Options()})
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		if err := server.Serve(l.ctx, l.listener); err != nil && l.ctx.Err() == nil {
			l.Logger.Error("link listener failed", "error", err)
		}
	}()
	return nil
}

// Close closes all links and waits for their goroutines to end.
func (l *Linker) Close() error {
	l.cancel()
	err := l.listener.Close()
	l.goroutines.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// BytesWritten returns the number of bytes written to all links.
func (l *Linker) BytesWritten() uint64 { return l.bytesWritten.Load() }

// Connect keeps a link to each of the hosts and closes the links to all others. If a host is
// listed more than once, its addresses are tried in turn. A working link is kept when the
// addresses of its host change.
func (l *Linker) Connect(hosts []wigeonspindle.Host) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wanted := make(map[string][]string, len(hosts))
	for _, host := range hosts {
		if host.Name != l.Self.Name {
			wanted[host.Name] = append(wanted[host.Name], host.LinkAddress)
		}
	}
	for name, p := range l.peers {
		if wanted[name] == nil {
			p.cancel()
			delete(l.peers, name)
		}
	}
	for name, addresses := range wanted {
		if p := l.peers[name]; p != nil {
			p.addresses.Store(&addresses)
		} else if len(l.peers) < maxOutboundLinks {
			l.peers[name] = l.startPeer(name, addresses)
		}
	}
}

// Send queues a message to a host. It reports false if the link is down or its queue is full.
func (l *Linker) Send(host string, message wigeonspindle.Envelope) bool {
	l.mutex.Lock()
	p := l.peers[host]
	l.mutex.Unlock()
	return p != nil && p.up.Load() && p.outbound.Offer(&message)
}

func (l *Linker) startPeer(name string, addresses []string) *peer {
	ctx, cancel := context.WithCancel(l.ctx)
	p := &peer{linker: l, name: name, cancel: cancel, outbound: queuer.New[*wigeonspindle.Envelope](outboundQueueCapacity)}
	p.addresses.Store(&addresses)
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		p.maintain(ctx)
	}()
	return p
}

// deliver decodes a frame and passes it to the handler.
func (l *Linker) deliver(frame *messenger.Frame, from string, heartbeats *heartbeatDecoder, reply wigeonspindle.ReplyFunc) error {
	envelope, err := converter.Decode(frame, from, l.Clock.Now())
	if err != nil {
		return err
	}
	l.Recorder.Observe(envelope.Stamp)
	if envelope.Heartbeat != nil {
		if envelope.Heartbeat = heartbeats.restore(envelope.Heartbeat); envelope.Heartbeat == nil {
			return errors.New("the first heartbeat of the stream is empty")
		}
	}
	l.Handler.Received(envelope, reply)
	return nil
}

// encode sets the timestamp of a message and returns its frame.
func (l *Linker) encode(envelope wigeonspindle.Envelope) (*messenger.Frame, error) {
	envelope.Stamp = l.Recorder.Stamp()
	return converter.Encode(envelope, l.Clock.Now())
}

// Delays between attempts to open a link. The delay doubles after each failure, up to
// maxRedialDelay.
const (
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = time.Second
)
