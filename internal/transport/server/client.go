package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle/internal/coordination/evictor"
)

// ErrDisplaced reports that the connection of a request was closed before the request was complete.
var ErrDisplaced = errors.New("the connection was closed before the request was complete")

// clientKey is the context key of a request's clientConn.
type clientKey struct{}

// clientConn is an accepted connection.
type clientConn struct {
	net.Conn
	// The mutex of listener guards Place and displaced.
	evictor.Place
	displaced bool // displaced reports that the connection has been closed for another one or after a timeout.

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

// serve passes a request to the handler.
func (l *Listener) serve(w http.ResponseWriter, r *http.Request) {
	client := clientOf(r.Context())
	if r.Body == http.NoBody {
		l.setStage(client, evictor.Replying)
	}
	l.Handler.ServeHTTP(w, r)
}

// StartHandling marks the request as complete, so that it does not give way until StartReply. It
// returns ErrDisplaced when the request has given way before.
func StartHandling(ctx context.Context) error {
	if client := clientOf(ctx); client != nil && !client.listener.setStage(client, evictor.Handling) {
		return ErrDisplaced
	}
	return nil
}

// StartReply marks that the client may read the answer.
func StartReply(ctx context.Context) {
	if client := clientOf(ctx); client != nil {
		client.listener.setStage(client, evictor.Replying)
	}
}
