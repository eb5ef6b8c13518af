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
	errLate   = errors.New("the deadline or the lease ended before the request was written")
	errSealed = errors.New("the request was given up")
	errFull   = errors.New("the target's connections are in use")
)

// budget bounds the open connections to one target over all of its pools.
type budget struct {
	mutex sync.Mutex
	limit int
	open  int
}

func (b *budget) setLimit(limit int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = limit
}

func (b *budget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.open >= b.limit {
		return false
	}
	b.open++
	return true
}

func (b *budget) give() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.open--
}

// connection counts the bytes of the exchange that uses it at present, and writes nothing
// after the deadline of that exchange or after it was given up.
type connection struct {
	net.Conn
	clock  wigeonspindle.Clock
	budget *budget
	closed sync.Once

	mutex    sync.Mutex
	deadline time.Time
	sealed   bool
	written  int
	// read is no part of what the mutex guards, so that an early answer can be read while a
	// write blocks.
	read atomic.Int64
}

// dial opens a connection within the budget.
func dial(ctx context.Context, clock wigeonspindle.Clock, budget *budget, network, address string) (net.Conn, error) {
	if !budget.take() {
		return nil, errFull
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		budget.give()
		return nil, err
	}
	return &connection{Conn: conn, clock: clock, budget: budget}, nil
}

// begin starts an exchange that must not write after the deadline.
func (c *connection) begin(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline, c.written = deadline, 0
	c.read.Store(0)
}

// seal ends an exchange that failed: no byte is written any more. It reports whether any
// byte was written before.
func (c *connection) seal() bool {
	// A write that blocks holds the mutex until the connection is closed.
	_ = c.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written > 0
}

// silent reports whether nothing was received since the exchange began.
func (c *connection) silent() bool { return c.read.Load() == 0 }

// Write checks the deadline immediately before it writes, because the process may have been
// paused since the attempt was started.
func (c *connection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	if !c.clock.Now().Before(c.deadline) {
		return 0, errLate
	}
	n, err := c.Conn.Write(data)
	c.written += n
	return n, err
}

// Read counts the bytes received.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.read.Add(int64(n))
	return n, err
}

// Close closes the connection and gives it back to the budget.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.budget.give)
	return err
}
