package simulator

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Proxy passes the bytes of connections on and cuts them on demand.
type Proxy struct {
	Target string // Target is the address to connect to.

	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
	waiting  sync.WaitGroup
}

// Run listens on a loopback address and starts passing connections on.
func (p *Proxy) Run() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for connections to pass on")
	}
	p.listener = listener
	p.waiting.Go(p.accept)
	return nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut breaks all connections, with the bytes that are under way.
func (p *Proxy) Cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	p.conns = nil
}

// Close stops listening, breaks all connections and waits for their end.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Cut()
	p.waiting.Wait()
	return err
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.Target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mutex.Lock()
		p.conns = append(p.conns, near, far)
		p.mutex.Unlock()
		p.waiting.Go(func() { pass(near, far) })
		p.waiting.Go(func() { pass(far, near) })
	}
}

func pass(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}
