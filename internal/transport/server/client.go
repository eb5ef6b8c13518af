package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/evictor"
)

const (
	// freeBytes of a request's body, or of an answer, need no claim, so that small requests are served
	// while the memory for large ones is used up.
	freeBytes = 16 << 10
	// pieceBytes is the size of the pieces in which an answer is written.
	pieceBytes = 16 << 10
	// replyTimeout bounds how long an answer waits for memory.
	replyTimeout = 2 * time.Second
	// firstBufferBytes is the size of the first buffer for a body.
	firstBufferBytes = 4 << 10
)

// expired is a deadline in the past, which ends a read at once.
var expired = time.Unix(1, 0)

// ErrDisplaced reports that the connection of a request was closed before the request was complete.
var ErrDisplaced = errors.New("the connection was closed before the request was complete")

// clientKey is the context key of a request's clientConn.
type clientKey struct{}

// clientConn is an accepted connection.
type clientConn struct {
	net.Conn
	// The mutex of listener guards Place, displaced and, for other goroutines than that of the request, claim.
	evictor.Place
	displaced bool   // displaced reports that the connection has been closed for another one or after a timeout.
	claim     *claim // claim is that of the request in progress; nil if the memory is not limited.

	listener  *Listener
	roundTrip time.Duration // roundTrip is that of the handshake.
	requests  atomic.Uint32 // requests counts the calls of ConnectionTiming, one for each request.
	closing   sync.Once
}

// Close closes the connection and frees its place.
func (c *clientConn) Close() error {
	c.closing.Do(func() { c.listener.release(c) })
	return c.Conn.Close()
}

func (c *clientConn) setClaim(claim *claim) {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.claim = claim
}

// closeFor closes the connection because the claim of its request has given way, unless the request has
// ended meanwhile: the next one on the connection may be in progress.
func (c *clientConn) closeFor(claim *claim) {
	c.listener.mutex.Lock()
	current := c.claim == claim
	if current {
		c.displaced = true
	}
	c.listener.mutex.Unlock()
	if current {
		_ = c.Close() // The client does not read its answer.
	}
}

// clientOf returns the connection of a request, or nil if it did not arrive through a Listener.
func clientOf(ctx context.Context) *clientConn {
	client, _ := ctx.Value(clientKey{}).(*clientConn)
	return client
}

// withClient adds a connection to the context of its requests.
func withClient(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, connection)
}

// ConnectionTiming returns the round-trip time between the caller of a request and the host, and
// how long the caller waited for the connection to open, which is 0 after the first request of a
// connection. Both are 0 when the round-trip time is not known. Call it once for each request.
func ConnectionTiming(ctx context.Context) (roundTrip, connectTime time.Duration) {
	client := clientOf(ctx)
	switch {
	case client == nil:
		return 0, 0
	case client.requests.Add(1) == 1:
		return client.roundTrip, client.roundTrip
	}
	return client.roundTrip, 0
}

// serve passes a request to the handler and gives back the memory that it has claimed.
func (l *Listener) serve(w http.ResponseWriter, r *http.Request) {
	client := clientOf(r.Context())
	if l.Memory != nil {
		claim := l.Memory.newClaim(func() { _ = client.SetReadDeadline(expired) })
		client.setClaim(claim)
		defer func() {
			client.setClaim(nil)
			claim.release()
		}()
	}
	if r.Body == http.NoBody {
		l.setStage(client, evictor.Replying)
	}
	l.Handler.ServeHTTP(w, r)
}

// ReadBody reads the body of a request, of at most limit bytes, and claims memory as the bytes
// arrive. It returns a http.MaxBytesError when the body is longer, wigeonspindle.ErrMemory when the
// request has to give way to others, and os.ErrDeadlineExceeded when the body does not arrive in time.
// After any error, the connection is closed with the response.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := readBody(r, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
		if claim := claimOf(r.Context()); claim != nil && !claim.hold() {
			err = wigeonspindle.ErrMemory // The error of the interrupted read does not say why.
		}
	}
	return body, err
}

// readBody doubles the buffer as long as the body continues, because a client may state a length
// and send less.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	size := limit
	switch {
	case r.ContentLength > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case r.ContentLength >= 0:
		size = r.ContentLength
	}
	claim := claimOf(r.Context())
	body := make([]byte, 0, min(size, firstBufferBytes))
	for {
		if len(body) == cap(body) && int64(len(body)) < size {
			grown := min(2*int64(cap(body)), size)
			if claim != nil && grown > freeBytes {
				if granted, _, _ := claim.grow(grown - max(int64(cap(body)), freeBytes)); !granted {
					return nil, wigeonspindle.ErrMemory
				}
			}
			body = append(make([]byte, 0, grown), body...)
		}
		var end [1]byte
		space := body[len(body):cap(body)]
		if len(space) == 0 {
			space = end[:] // Only the end of the body may follow.
		}
		n, err := r.Body.Read(space)
		if len(body)+n > cap(body) {
			return nil, &http.MaxBytesError{Limit: limit}
		}
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// StartHandling marks the request as complete, so that it does not give way until StartReply. It
// returns wigeonspindle.ErrMemory or ErrDisplaced when the request has given way before; the handler
// must then close the connection.
func StartHandling(ctx context.Context) error {
	client := clientOf(ctx)
	if client == nil {
		return nil
	}
	if client.claim != nil && !client.claim.hold() {
		return wigeonspindle.ErrMemory
	}
	if !client.listener.setStage(client, evictor.Handling) {
		return ErrDisplaced
	}
	return nil
}

// StartReply marks that the client may read an answer of the given size, in bytes, and claims memory
// for it in place of the request. It waits for the memory until others that do not read their answers
// have been disconnected, and returns wigeonspindle.ErrMemory if that takes too long; the answer must
// then be dropped.
func StartReply(ctx context.Context, size int) error {
	client := clientOf(ctx)
	if client == nil {
		return nil
	}
	defer client.listener.setStage(client, evictor.Replying)
	if client.claim == nil {
		return nil
	}
	claim := client.claim
	claim.reply(func() { client.closeFor(claim) })
	if size <= freeBytes {
		return nil
	}
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	for {
		claim.progress() // The time of waiting is not the client's.
		granted, freed, wait := claim.grow(int64(size - freeBytes))
		if granted {
			return nil
		}
		select {
		case <-freed:
		case <-time.After(wait):
		case <-timeout.C:
			return wigeonspindle.ErrMemory
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// WriteBody writes the body of an answer in pieces, so that a client that reads slowly can be told from
// one that does not read.
func WriteBody(ctx context.Context, w io.Writer, body []byte) error {
	claim := claimOf(ctx)
	for piece := range slices.Chunk(body, pieceBytes) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
		if claim != nil && len(body) > freeBytes {
			claim.progress()
		}
	}
	return nil
}

// claimOf returns the claim of a request, or nil if the memory is not limited.
func claimOf(ctx context.Context) *claim {
	if client := clientOf(ctx); client != nil {
		return client.claim
	}
	return nil
}

// claimedReader claims memory for the bytes that it reads. It returns wigeonspindle.ErrMemory as ReadBody
// does.
type claimedReader struct {
	reader io.Reader
	claim  *claim
	copies int64 // copies is the number of copies that are made of the bytes.
	read   int64
}

// Read implements io.Reader.
func (c *claimedReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	claimed := max(c.read*c.copies-freeBytes, 0)
	c.read += int64(n)
	interrupted := err != nil && !errors.Is(err, io.EOF)
	if grown := max(c.read*c.copies-freeBytes, 0) - claimed; grown > 0 || interrupted {
		if c.claim != nil {
			if granted, _, _ := c.claim.grow(grown); !granted {
				return n, wigeonspindle.ErrMemory
			}
		}
	}
	return n, err
}
