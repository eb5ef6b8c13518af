package simulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// chunkSize is the size in bytes of the buffer for each direction of a connection.
const chunkSize = 16 << 10

// Direction is a bit set of directions through a proxy.
type Direction uint32

// Directions through a proxy: Upstream is from the client to the upstream address, Downstream
// is the opposite.
const (
	Upstream Direction = 1 << iota
	Downstream
)

// Proxy is a TCP proxy that can reset, blackhole, block or delay its connections.
type Proxy struct {
	Upstream string // Upstream is the address to connect to.
	Listen   string // Listen is the listen address; empty selects a loopback address.

	listener net.Listener
	delay    atomic.Int64  // delay is added before bytes are forwarded, in nanoseconds.
	blocked  atomic.Uint32 // blocked holds the directions in which all connections discard bytes.
	mutex    sync.Mutex
	pairs    []*connPair
	wg       sync.WaitGroup
}

// connPair is the client and the upstream connection of one proxied connection.
type connPair struct {
	client, upstream net.Conn
	blackholed       atomic.Uint32 // blackholed holds the directions that discard bytes permanently.
}

// Run listens on the configured address and starts forwarding connections.
func (p *Proxy) Run() error {
	address := p.Listen
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for connections to proxy")
	}
	p.listener = listener
	p.wg.Go(p.accept)
	return nil
}

// Address returns the listen address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Reset resets all open connections; bytes in flight are lost.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, pair := range p.pairs {
		for _, conn := range []net.Conn{pair.client, pair.upstream} {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
	p.pairs = nil
}

// Blackhole makes the open connections discard bytes permanently; new connections are
// unaffected.
func (p *Proxy) Blackhole(direction Direction) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, pair := range p.pairs {
		pair.blackholed.Or(uint32(direction))
	}
}

// Block makes all connections, including new ones, discard bytes in a direction until Block is
// called again; 0 unblocks both directions.
func (p *Proxy) Block(direction Direction) { p.blocked.Store(uint32(direction)) }

// Delay sets the delay before bytes are forwarded.
func (p *Proxy) Delay(delay time.Duration) { p.delay.Store(int64(delay)) }

// Close stops listening, resets all connections and waits for their goroutines.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Reset()
	p.wg.Wait()
	return err
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.Upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		pair := &connPair{client: client, upstream: upstream}
		p.mutex.Lock()
		p.pairs = append(p.pairs, pair)
		p.mutex.Unlock()
		p.wg.Go(func() { p.forward(pair, upstream, client, Upstream) })
		p.wg.Go(func() { p.forward(pair, client, upstream, Downstream) })
	}
}

// forward copies one direction of a connection until either side closes it.
func (p *Proxy) forward(pair *connPair, to, from net.Conn, direction Direction) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.remove(pair)
	}()
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		if delay := time.Duration(p.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		if (pair.blackholed.Load()|p.blocked.Load())&uint32(direction) == 0 && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) remove(pair *connPair) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i, other := range p.pairs {
		if other == pair {
			p.pairs = append(p.pairs[:i], p.pairs[i+1:]...)
			return
		}
	}
}
