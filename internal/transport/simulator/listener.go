package simulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// relistenInterval is the time between attempts to listen again after a crash.
const relistenInterval = 10 * time.Millisecond

// acceptQueueSize bounds the connections that wait for the HTTP server.
const acceptQueueSize = 1024

// Listener is a net.Listener that limits the number of connections and delays new ones. It can
// reset or blackhole open connections and close its socket temporarily.
type Listener struct {
	Address        string        // Address is the listen address; port 0 selects a free port.
	MaxConnections int           // MaxConnections limits the open connections; 0 means no limit.
	OpenDelay      time.Duration // OpenDelay is the delay before the first read of a new connection.

	mutex       sync.Mutex
	listener    net.Listener
	downUntil   time.Time
	conns       map[*faultyConn]struct{}
	refused     int
	acceptQueue chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once
	wg          sync.WaitGroup
}

// Run listens and starts accepting.
func (l *Listener) Run() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", l.Address)
	}
	l.Address = listener.Addr().String()
	l.listener = listener
	l.conns = make(map[*faultyConn]struct{})
	l.acceptQueue = make(chan net.Conn, acceptQueueSize)
	l.closed = make(chan struct{})
	l.wg.Add(1)
	go l.accept()
	return nil
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.acceptQueue:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listener.Addr()
}

// Close stops listening, resets every connection and waits for the accept loop to end.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.mutex.Lock()
		_ = l.listener.Close()
		l.mutex.Unlock()
		l.Reset()
	})
	l.wg.Wait()
	return nil
}

// RefusedConnections returns the number of connections refused over the limit.
func (l *Listener) RefusedConnections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refused
}

// Reset resets every open connection.
func (l *Listener) Reset() {
	for _, conn := range l.openConns() {
		conn.reset()
	}
}

// Blackhole makes every open connection discard all bytes; new connections are unaffected.
func (l *Listener) Blackhole() {
	for _, conn := range l.openConns() {
		conn.blackholed.Store(true)
	}
}

// Crash resets every connection and refuses new ones for the given time.
func (l *Listener) Crash(down time.Duration) {
	l.mutex.Lock()
	l.downUntil = time.Now().Add(down)
	_ = l.listener.Close()
	l.mutex.Unlock()
	l.Reset()
}

func (l *Listener) openConns() []*faultyConn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	conns := make([]*faultyConn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	return conns
}

// accept is the accept loop. It ends when the listener is closed.
func (l *Listener) accept() {
	defer l.wg.Done()
	for {
		l.mutex.Lock()
		listener := l.listener
		l.mutex.Unlock()
		conn, err := listener.Accept()
		if err == nil {
			l.admit(conn)
			continue
		}
		if !l.relisten() {
			return
		}
	}
}

func (l *Listener) admit(conn net.Conn) {
	wrapped := &faultyConn{Conn: conn, listener: l, readyAt: time.Now().Add(l.OpenDelay)}
	l.mutex.Lock()
	full := l.MaxConnections > 0 && len(l.conns) >= l.MaxConnections
	if full {
		l.refused++
	} else {
		l.conns[wrapped] = struct{}{}
	}
	l.mutex.Unlock()
	if full {
		wrapped.reset()
		return
	}
	select {
	case l.acceptQueue <- wrapped:
	case <-l.closed:
		wrapped.reset()
	}
}

// relisten waits until the downtime of a crash is over and listens again. It returns false when
// the listener is closed.
func (l *Listener) relisten() bool {
	for {
		l.mutex.Lock()
		wait := max(time.Until(l.downUntil), relistenInterval)
		l.mutex.Unlock()
		select {
		case <-l.closed:
			return false
		case <-time.After(wait):
		}
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			continue
		}
		l.mutex.Lock()
		l.listener = listener
		l.mutex.Unlock()
		select {
		case <-l.closed:
			_ = listener.Close()
			return false
		default:
			return true
		}
	}
}

type faultyConn struct {
	net.Conn

	listener   *Listener
	readyAt    time.Time
	blackholed atomic.Bool
}

// Read blocks until the open delay is over and discards the input of a blackholed connection.
func (c *faultyConn) Read(buffer []byte) (int, error) {
	if wait := time.Until(c.readyAt); wait > 0 {
		time.Sleep(wait)
	}
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write discards the output of a blackholed connection.
func (c *faultyConn) Write(data []byte) (int, error) {
	if c.blackholed.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection and removes it from the listener.
func (c *faultyConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close then sends a reset instead of a FIN.
	}
	_ = c.Close()
}
