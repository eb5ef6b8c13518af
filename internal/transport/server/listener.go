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
	"golang.org/x/net/netutil"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Bounds of every HTTP listener of a host.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
)

// Listener is an HTTP listener with bounded connections, headers and times.
type Listener struct {
	Name        string // Name says in errors and logs whom the listener serves.
	Address     string
	Handler     http.Handler
	Connections int           // Connections is the largest number of open connections.
	Read        time.Duration // Read bounds the time in which a request must arrive.
	Write       time.Duration // Write bounds the time from a request's header to its answer.
	Logger      *log.Logger

	http     http.Server
	listener net.Listener
	done     chan struct{}
	mutex    sync.Mutex
	busy     map[net.Conn]http.ConnState // busy holds the connections with a request to come or to answer.
	quiet    chan struct{}               // quiet is closed when a closing listener has no busy connection.
}

// Run listens and starts serving.
func (l *Listener) Run() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s on %s", l.Name, l.Address)
	}
	listener = netutil.LimitListener(listener, l.Connections)
	l.listener, l.busy = listener, make(map[net.Conn]http.ConnState)
	l.http.ConnState = l.track
	l.http.Handler = l.Handler
	l.http.ReadHeaderTimeout = headerTimeout
	l.http.ReadTimeout = l.Read
	l.http.WriteTimeout = l.Write
	l.http.IdleTimeout = idleTimeout
	l.http.MaxHeaderBytes = maxHeader
	l.done = make(chan struct{})
	go func() {
		defer close(l.done)
		if err := l.http.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.Logger.Error("listener failed", "listener", l.Name, "error", err)
		}
	}()
	return nil
}

// Close stops listening and waits for the requests in progress until ctx ends; then it
// closes their connections. The listener closes first, because a server that shuts down
// drops requests on connections that it has just accepted.
func (l *Listener) Close(ctx context.Context) error {
	_ = l.listener.Close()
	<-l.done
	select {
	case <-l.drained():
	case <-ctx.Done():
	case <-time.After(headerTimeout): // A new connection without a request ends by then.
	}
	err := l.http.Shutdown(ctx)
	if err != nil {
		active := l.active()
		closing := l.http.Close()
		if active == 0 && errors.Is(err, context.DeadlineExceeded) {
			err = nil // Only connections without a request were left.
		}
		err = errors.CombineErrors(err, closing)
	}
	return errors.Wrapf(err, "stop listener for %s", l.Name)
}

// track notes which connections are busy.
func (l *Listener) track(connection net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state == http.StateNew || state == http.StateActive {
		l.busy[connection] = state
		return
	}
	delete(l.busy, connection)
	if l.quiet != nil && len(l.busy) == 0 {
		close(l.quiet)
		l.quiet = nil
	}
}

// active returns the number of connections with a request to answer.
func (l *Listener) active() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	active := 0
	for _, state := range l.busy {
		if state == http.StateActive {
			active++
		}
	}
	return active
}

// drained returns a channel that is closed when no connection is busy.
func (l *Listener) drained() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	quiet := make(chan struct{})
	if len(l.busy) == 0 {
		close(quiet)
	} else {
		l.quiet = quiet
	}
	return quiet
}

// Refuse answers an unknown route, a wrong method or a failed handler with a refusal.
func Refuse(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeUnavailable, Verdict: wigeonspindle.NotRun, Message: "the request was not handled",
	}
	status := http.StatusInternalServerError
	var known *echo.HTTPError
	if errors.As(err, &known) {
		status = known.Code
		refusal.Code, refusal.Message = wigeonspindle.CodeInvalid, http.StatusText(status)
	}
	_ = c.JSON(status, encoder.ErrorAnswer{Refusal: refusal}) // The client has gone when this fails.
}
