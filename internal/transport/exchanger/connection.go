// Package exchanger exchanges requests and responses with replicas over pooled connections. A
// request is written once and never retried by this package. A response is accepted only if it is
// complete and does not carry the call ID of another request.
package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// Timeouts and limits of a connection.
const (
	// dialTimeout bounds the opening of a connection. It is many times the slowest handshake of
	// a healthy replica.
	dialTimeout = time.Second
	// maxCopiedBytes is the largest body that is copied to be sent with the header of its request.
	maxCopiedBytes = 4 << 10
	// readBufferSize fits the header and a small body of a typical response, in bytes.
	readBufferSize = 1 << 10
	// maxUnmatchedResponses bounds the skipped responses to other requests.
	maxUnmatchedResponses = 2
	// TCP keep-alive detects idle connections whose peer has become unreachable.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// idleMargin is subtracted from the idle timeout that a replica states, because a request
	// takes time to reach the replica.
	idleMargin = time.Second
	// maxErrorBytes bounds the text of an error about a malformed response, which quotes it. Errors are logged.
	maxErrorBytes = 512
	// Status codes outside minStatus to maxStatus are invalid (RFC 9110, section 15), and net/http panics when a handler
	// writes one below 100.
	minStatus = 100
	maxStatus = 599
	// defaultIdleTimeout applies to a replica that states no idle timeout.
	defaultIdleTimeout = 30 * time.Second
	// maxCallsPerConnection bounds the calls that a connection carries before it is replaced, and with them the
	// memory for their IDs: about 20 KB for each connection.
	maxCallsPerConnection = 1024
)

// Job is a request to be sent once on a connection.
type Job struct {
	Call   *wigeonspindle.Call
	Header []byte // Header is the header of the request.
	Body   []byte // Body is shared by the sends of a call; the connection drops it once it is written.
	// Key identifies the job to the user of the pool.
	Key any
	// KeepBody is set by OnResult when the body of the response is still needed. Its memory then stays reserved until
	// Pool.ReleaseBody.
	KeepBody bool

	reserved int64 // reserved is the memory of the body of the response, in bytes.
	started  time.Time
	written  atomic.Bool // written reports that bytes may have reached the replica.
}

// Waiting reports whether the job has no connection yet.
func (j *Job) Waiting() bool { return j.started.IsZero() }

// Event reports a change of a connection. A connection first reports that it opened or failed to
// open, then one event for each job, and finally its end. A job submitted after the end has no
// event of its own and was not sent.
type Event struct {
	Connection *Connection
	Opened     bool
	Job        *Job
	Exchange   wigeonspindle.Exchange
	Closed     bool // Closed reports that the connection accepts no more jobs.
	Err        error
}

// Connection is one connection to a replica. It carries one job at a time.
type Connection struct {
	Replica *wigeonspindle.Replica
	Dialect wigeonspindle.Dialect
	Clock   wigeonspindle.Clock
	Events  *queuer.Ring[Event] // Events receives the events of the connection.
	Stop    <-chan struct{}     // Stop ends a wait for space in Events.

	// IdleSince is when the connection became idle, and ReuseUntil is when the replica may close
	// it. Only the owner of the connection reads them, between jobs.
	IdleSince  time.Time
	ReuseUntil time.Time

	// carried holds the hashes of the IDs of the calls that the connection has carried. Only the owner uses it.
	carried    map[uint64]struct{}
	dialled    time.Time     // dialled is when Run was called.
	memory     *bodyMemory   // memory is that of all connections of the pool.
	limit      limitedReader // limit bounds the response that is being read.
	jobs       *queuer.Ring[*Job]
	conn       net.Conn
	mutex      sync.Mutex
	current    *Job
	closed     bool
	aborted    chan struct{} // aborted is closed by Abort.
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Run opens the connection in the background.
func (c *Connection) Run() {
	c.jobs, c.dialled, c.aborted = queuer.New[*Job](1), c.Clock.Now(), make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	c.cancel = cancel
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		defer cancel()
		c.serve(ctx)
	}()
}

// Carried reports whether a call with an ID has been sent on the connection before. A late second copy of its
// response cannot be told from the response to another send with the same ID.
func (c *Connection) Carried(id string) bool {
	_, ok := c.carried[xxhash.Sum64String(id)]
	return ok
}

// Exhausted reports whether the connection has carried so many calls that it must be replaced.
func (c *Connection) Exhausted() bool { return len(c.carried) >= maxCallsPerConnection }

// Submit starts a job on an open connection that has none and has not carried the call.
func (c *Connection) Submit(job *Job) {
	if c.carried == nil {
		c.carried = make(map[uint64]struct{})
	}
	c.carried[xxhash.Sum64String(job.Call.ID)] = struct{}{}
	job.started = c.Clock.Now()
	c.jobs.Offer(job) // Never full: the ring holds one job, and the owner submits one at a time.
}

// Abort closes the connection. The job in progress is reported as cancelled.
func (c *Connection) Abort() {
	c.cancel()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed {
		close(c.aborted)
	}
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close() // readLoop returns, and serve reports the end.
	}
}

// Close closes the connection and waits for its goroutines.
func (c *Connection) Close() {
	c.Abort()
	c.goroutines.Wait()
}

// serve dials, starts writeLoop in a goroutine of its own, and runs readLoop.
func (c *Connection) serve(ctx context.Context) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(ctx, "tcp", c.Replica.Address)
	c.mutex.Lock()
	aborted := c.closed
	if err == nil && !aborted {
		c.conn = conn
	}
	c.mutex.Unlock()
	if err == nil && aborted {
		_ = conn.Close() // Nothing was sent.
		err = context.Canceled
	}
	if err != nil {
		c.report(Event{Connection: c, Closed: true, Err: errors.Wrapf(err, "dial %s", c.Replica.Address)})
		return
	}
	done, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		c.writeLoop(done)
	}()
	c.report(Event{Connection: c, Opened: true})
	c.limit.reader = conn
	err = c.readLoop(bufio.NewReaderSize(&c.limit, readBufferSize))
	_ = conn.Close() // The read error is the one to report.
	close(done)
	<-written
	c.reportFailure(c.takeJob(), err)
	c.report(Event{Connection: c, Closed: true, Err: err})
}

func (c *Connection) report(event Event) { c.Events.Put(event, c.Stop) }

// writeLoop sends requests until done is closed.
func (c *Connection) writeLoop(done <-chan struct{}) {
	for {
		select {
		case job := <-c.jobs.C():
			job.written.Store(true) // Before readLoop can take the job.
			c.mutex.Lock()
			c.current = job
			c.mutex.Unlock()
			if err := c.write(job); err != nil {
				_ = c.conn.Close() // readLoop reports the job.
			}
		case <-done:
			return
		}
	}
}

// write sends a request. A small body is copied after the header, to send both in one packet.
func (c *Connection) write(job *Job) error {
	body := job.Body
	job.Body = nil
	if len(body) <= maxCopiedBytes {
		job.Header, body = append(job.Header, body...), nil
	}
	if _, err := c.conn.Write(job.Header); err != nil || len(body) == 0 {
		return err
	}
	_, err := c.conn.Write(body)
	return err
}

// readLoop receives responses. It returns when the connection can carry no more jobs.
func (c *Connection) readLoop(reader *bufio.Reader) error {
	for {
		c.limit.remaining = maxHeadBytes
		_, err := reader.Peek(1)
		job := c.takeJob()
		if err != nil {
			c.reportFailure(job, err)
			return err
		}
		if job == nil || !job.written.Load() {
			err := errors.New("unexpected data: no request in progress")
			c.reportFailure(job, err) // writeLoop does not send a job that was taken before it.
			return err
		}
		reusable, err := c.receive(reader, job)
		if err != nil {
			return err
		}
		if !reusable {
			return nil
		}
	}
}

// takeJob removes and returns the job in progress, or one that writeLoop has not received yet.
func (c *Connection) takeJob() *Job {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	job := c.current
	c.current = nil
	if job != nil {
		return job
	}
	select {
	case job = <-c.jobs.C():
		return job
	default:
		return nil
	}
}

// reportFailure reports a job whose connection ended without a complete response.
func (c *Connection) reportFailure(job *Job, err error) {
	if job == nil {
		return
	}
	exchange := wigeonspindle.Exchange{
		Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeUnreachable, Took: c.Clock.Now().Sub(job.started),
	}
	if job.written.Load() {
		exchange.Verdict, exchange.Code, exchange.Sent = wigeonspindle.MayHaveRun, wigeonspindle.CodeBroken, true
	}
	c.mutex.Lock()
	if c.closed {
		exchange.Code = wigeonspindle.CodeCancelled
	}
	c.mutex.Unlock()
	c.report(Event{Connection: c, Job: job, Exchange: exchange, Err: err})
}

// receive reads the response to a job and reports it. It returns whether the connection can be
// reused.
func (c *Connection) receive(reader *bufio.Reader, job *Job) (bool, error) {
	matched := true
	for unmatched := 0; ; unmatched++ {
		response, body, reserved, err := c.readResponse(reader, job)
		if err != nil {
			c.reportFailure(job, err)
			return false, err
		}
		answer := c.Dialect.Response(response, body)
		if answer.CallID != "" && answer.CallID != job.Call.ID {
			c.memory.release(reserved)
			if unmatched == maxUnmatchedResponses {
				err := errors.New("too many responses to other requests")
				c.reportFailure(job, err)
				return false, err
			}
			matched = false // Responses are out of order, so the connection is not reused.
			c.limit.remaining = maxHeadBytes
			continue
		}
		reusable := matched && !response.Close && reader.Buffered() == 0
		now := c.Clock.Now()
		c.ReuseUntil = now.Add(idleTimeout(response.Header))
		exchange := wigeonspindle.Exchange{
			Verdict: wigeonspindle.Ran, Response: answer, Sent: true, Took: now.Sub(job.started),
		}
		if answer.Refused {
			exchange.Verdict = wigeonspindle.NotRun
		}
		job.reserved = reserved
		c.report(Event{Connection: c, Job: job, Exchange: exchange, Closed: !reusable})
		return reusable, nil
	}
}

// readResponse reads one complete response and returns the bytes that stay reserved for its body. It skips interim
// responses.
func (c *Connection) readResponse(reader *bufio.Reader, job *Job) (response *http.Response, body []byte, reserved int64, err error) {
	request := &http.Request{Method: job.Call.Method}
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, nil, 0, errors.Wrap(boundError(err), "read response")
		}
		switch status := response.StatusCode; {
		case status < minStatus || status > maxStatus:
			return nil, nil, 0, errors.Newf("read response: status code %03d is outside %d to %d", status, minStatus, maxStatus)
		case status < http.StatusOK:
			continue
		}
		c.limit.remaining = maxBodyBytes + maxFramingBytes
		body, reserved, err := c.memory.readBody(response, c.aborted)
		if err != nil {
			return nil, nil, 0, errors.Wrap(boundError(err), "read response body")
		}
		return response, body, reserved, nil
	}
}

// boundError returns an error with at most maxErrorBytes of the text of err.
func boundError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.Newf("%s... (%d bytes)", text[:maxErrorBytes], len(text))
}

// idleTimeout returns how long a connection may be reused after a response, from the Keep-Alive
// header of the replica.
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
