package sender

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

var (
	errDeadlinePassed  = errors.New("the deadline or the lease ended before the request was written")
	errAborted         = errors.New("the request was aborted")
	errConnectionLimit = errors.New("the target's connections are in use")
)

// connectionLimiter limits the open connections to one target across all of its pools.
type connectionLimiter struct {
	mutex sync.Mutex
	limit int
	open  int
}

func (l *connectionLimiter) setLimit(limit int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.limit = limit
}

func (l *connectionLimiter) tryAcquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *connectionLimiter) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// connection counts the bytes of the exchange that currently uses it, and writes nothing
// after the deadline of that exchange or after the exchange was aborted.
type connection struct {
	net.Conn
	clock       wigeonspindle.Clock
	limiter     *connectionLimiter
	releaseOnce sync.Once

	mutex        sync.Mutex
	deadline     time.Time
	aborted      bool
	bytesWritten int
	// bytesRead is not guarded by the mutex, so that an early answer can be read while a write
	// blocks.
	bytesRead atomic.Int64
}

// dial opens a connection if the limiter allows one more.
func dial(ctx context.Context, clock wigeonspindle.Clock, limiter *connectionLimiter, network, address string) (net.Conn, error) {
	if !limiter.tryAcquire() {
		return nil, errConnectionLimit
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		limiter.release()
		return nil, err
	}
	return &connection{Conn: conn, clock: clock, limiter: limiter}, nil
}

// beginExchange resets the byte counters and sets the deadline after which the new exchange
// must not write.
func (c *connection) beginExchange(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline, c.bytesWritten = deadline, 0
	c.bytesRead.Store(0)
}

// abort closes the connection of a failed exchange and prevents further writes. It reports
// whether the exchange had written any byte.
func (c *connection) abort() bool {
	// A blocked write holds the mutex until the connection is closed.
	_ = c.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.aborted = true
	return c.bytesWritten > 0
}

// silent reports whether nothing was received since the exchange began.
func (c *connection) silent() bool { return c.bytesRead.Load() == 0 }

// Write checks the deadline immediately before it writes, because the process may have been
// paused since the attempt started.
func (c *connection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.aborted {
		return 0, errAborted
	}
	if !c.clock.Now().Before(c.deadline) {
		return 0, errDeadlinePassed
	}
	n, err := c.Conn.Write(data)
	c.bytesWritten += n
	return n, err
}

// Read counts the bytes received.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytesRead.Add(int64(n))
	return n, err
}

// Close closes the connection and releases its place in the limiter.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.limiter.release)
	return err
}
