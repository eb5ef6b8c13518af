package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/evictor"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Limits of every HTTP listener of a host. Listener.Limits replaces headerTimeout and idleTimeout,
// up to Listener.ReadTimeout and maxIdleTimeout.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxIdleTimeout = 24 * time.Hour
	maxHeaderBytes = 64 << 10
)

// Listener is an HTTP listener that limits connections, header sizes and times.
type Listener struct {
	Name         string // Name identifies the listener in errors and logs.
	Address      string
	Handler      http.Handler
	Connections  int           // Connections is the maximum number of open connections.
	ReadTimeout  time.Duration // ReadTimeout bounds the time to read a request.
	WriteTimeout time.Duration // WriteTimeout bounds the time from the header of a request to the end of its response.
	Logger       *log.Logger
	// Limits returns the header timeout and the idle timeout; nil means headerTimeout and
	// idleTimeout.
	Limits func() wigeonspindle.CallLimits
	// Memory bounds what requests and answers hold; nil means no limit. Listeners may share it.
	Memory *Memory
	// OnDisplaced is called, if set, for each connection that is closed for a new one. It must not block.
	OnDisplaced func()

	http          http.Server
	listener      net.Listener
	done          chan struct{}
	closing       chan struct{} // closing is closed when the listener closes.
	freed         chan struct{} // freed receives a signal when a place has become free.
	mutex         sync.Mutex
	places        map[*evictor.Place]*clientConn // places holds the open connections.
	busy          map[net.Conn]http.ConnState    // busy holds the connections that are new or have a request in progress.
	requestTimers map[net.Conn]*requestTimer     // requestTimers holds a timer for each connection that waits for its next request.
	idle          chan struct{}                  // idle is closed when a closing listener has no busy connection.

	displaced         int // displaced counts the connections closed for new ones since the last log line.
	displacedLoggedAt time.Time
}

// requestTimer closes a connection whose next request does not arrive in time.
type requestTimer struct{ timer *time.Timer }

// Run listens and serves in the background.
func (l *Listener) Run() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s on %s", l.Name, l.Address)
	}
	l.closing, l.freed, l.places = make(chan struct{}), make(chan struct{}, 1), make(map[*evictor.Place]*clientConn)
	l.listener, l.busy, l.requestTimers = listener, make(map[net.Conn]http.ConnState), make(map[net.Conn]*requestTimer)
	l.http.ConnState = l.trackState
	l.http.ConnContext = withClient
	l.http.Handler = http.HandlerFunc(l.serve)
	l.http.ReadHeaderTimeout, l.http.IdleTimeout = headerTimeout, idleTimeout
	if l.Limits != nil {
		// The operators' limits may exceed headerTimeout and idleTimeout.
		l.http.ReadHeaderTimeout, l.http.IdleTimeout = l.ReadTimeout, maxIdleTimeout
	}
	l.http.ReadTimeout = l.ReadTimeout
	l.http.WriteTimeout = l.WriteTimeout
	l.http.MaxHeaderBytes = maxHeaderBytes
	l.done = make(chan struct{})
	go func() {
		defer close(l.done)
		if err := l.http.Serve(&placeListener{Listener: listener, owner: l}); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.Logger.Error("listener failed", "listener", l.Name, "error", err)
		}
	}()
	return nil
}

// Close stops listening and waits for the requests in progress until ctx ends; then it closes
// their connections. The listener is closed first, because http.Server.Shutdown drops requests on
// connections that it has just accepted.
func (l *Listener) Close(ctx context.Context) error {
	_ = l.listener.Close()
	close(l.closing)
	<-l.done
	select {
	case <-l.drained():
	case <-ctx.Done():
	case <-time.After(headerTimeout): // A new connection without a request is closed by then.
	}
	err := l.http.Shutdown(ctx)
	if err != nil {
		active := l.activeConnections()
		closeErr := l.http.Close()
		if active == 0 && errors.Is(err, context.DeadlineExceeded) {
			err = nil // Only connections without a request remained.
		}
		err = errors.CombineErrors(err, closeErr)
	}
	return errors.Wrapf(err, "stop listener for %s", l.Name)
}

// trackState implements http.Server.ConnState. It records which connections are busy.
func (l *Listener) trackState(connection net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setRequestTimer(connection, state)
	client := connection.(*clientConn)
	switch state {
	case http.StateNew, http.StateActive:
		client.Stage, client.Since = evictor.Receiving, time.Now()
	case http.StateIdle:
		client.Stage, client.Since = evictor.Idle, time.Now()
	}
	if state == http.StateNew || state == http.StateActive {
		l.busy[connection] = state
		return
	}
	delete(l.busy, connection)
	if l.idle != nil && len(l.busy) == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// setRequestTimer starts or stops the request timer of a connection. The timeouts of http.Server
// are fixed when it starts, before the operators' limits are known.
func (l *Listener) setRequestTimer(connection net.Conn, state http.ConnState) {
	if previous, ok := l.requestTimers[connection]; ok {
		previous.timer.Stop()
		delete(l.requestTimers, connection)
	}
	if timeout := l.requestTimeout(state); timeout > 0 {
		next := &requestTimer{}
		next.timer = time.AfterFunc(timeout, func() { l.expire(connection, next) })
		l.requestTimers[connection] = next
	}
}

// requestTimeout returns how long a connection may stay in a state, or 0 without a limit.
func (l *Listener) requestTimeout(state http.ConnState) time.Duration {
	switch {
	case l.Limits == nil:
		return 0
	case state == http.StateNew:
		return l.Limits().HeaderTimeout
	case state == http.StateIdle:
		return l.Limits().IdleTimeout
	}
	return 0
}

// expire closes a connection that still waits for the request of the expired timer. If a request
// arrived while the timer fired, the connection may already have another timer. A request that arrives
// later is not handled.
func (l *Listener) expire(connection net.Conn, expired *requestTimer) {
	l.mutex.Lock()
	current := l.requestTimers[connection] == expired
	if current {
		delete(l.requestTimers, connection)
		connection.(*clientConn).displaced = true
	}
	l.mutex.Unlock()
	if current {
		_ = connection.Close() // No request is in progress.
	}
}

// activeConnections returns the number of connections with a complete request in progress.
func (l *Listener) activeConnections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	active := 0
	for place := range l.places {
		if place.Stage == evictor.Handling || place.Stage == evictor.Replying {
			active++
		}
	}
	return active
}

// drained returns a channel that is closed when no connection is busy.
func (l *Listener) drained() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	idle := make(chan struct{})
	if len(l.busy) == 0 {
		close(idle)
	} else {
		l.idle = idle
	}
	return idle
}

// HandleError responds to an unknown route, a wrong method or a failed handler with a refusal.
func HandleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeUnavailable, Verdict: wigeonspindle.NotRun, Message: "the request was not handled",
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
		refusal.Code, refusal.Message = wigeonspindle.CodeInvalid, http.StatusText(status)
	}
	_ = c.JSON(status, encoder.ErrorAnswer{Refusal: refusal}) // Fails only if the client has disconnected.
}
