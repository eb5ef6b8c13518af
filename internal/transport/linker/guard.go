package linker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// idleReadTimeout is how long an accepted connection may receive nothing before it is
	// closed. It exceeds LinkSilenceTimeout, so that the host that opened the link closes it
	// first.
	idleReadTimeout = 2 * wigeonspindle.LinkSilenceTimeout
	// maxInboundConnections limits the accepted connections; a cell has about 15 hosts.
	maxInboundConnections = 256
	// maxOutboundLinks limits the links that a host opens.
	maxOutboundLinks = 160
)

// deadlineConn sets a deadline on each read and write. Without a write deadline, a writer
// blocks forever once the buffers of an unresponsive connection are full, and the check for
// silence in the same goroutine never runs.
type deadlineConn struct {
	net.Conn
	bytesWritten *atomic.Uint64
	releaseOnce  sync.Once
	release      func()
}

// Read fails when no byte arrives within idleReadTimeout.
func (c *deadlineConn) Read(data []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleReadTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(data)
}

// Write fails when the data cannot be written within LinkSilenceTimeout.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(wigeonspindle.LinkSilenceTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.bytesWritten.Add(uint64(n))
	return n, err
}

// Close closes the connection and frees its slot in the listener, if it has one.
func (c *deadlineConn) Close() error {
	if c.release != nil {
		c.releaseOnce.Do(c.release)
	}
	return c.Conn.Close()
}

// limitListener limits the open connections to the number of slots and closes further ones
// as soon as it accepts them.
type limitListener struct {
	net.Listener
	slots        chan struct{}
	bytesWritten *atomic.Uint64
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &deadlineConn{Conn: conn, bytesWritten: l.bytesWritten, release: func() { <-l.slots }}, nil
		default:
			_ = conn.Close()
		}
	}
}
