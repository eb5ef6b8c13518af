// Package server is the callers' HTTP listener.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Timeouts of the callers' listener.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Frontend is what the listener needs from the host.
type Frontend interface {
	// Query runs a query and waits for its answer.
	Query(ctx context.Context, query wigeonspindle.Query) wigeonspindle.Answer
	// Addresses answers a caller in a failure domain, which may be empty.
	Addresses(domain string) wigeonspindle.AddressAnswer
}

// Server serves callers.
type Server struct {
	Address  string
	Frontend Frontend
	Clock    wigeonspindle.Clock
	Logger   *log.Logger

	http     http.Server
	listener net.Listener
	done     chan struct{}
}

// Run listens and starts serving.
func (s *Server) Run() error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", s.Address)
	}
	s.listener = listener
	router := echo.New()
	router.GET("/addresses", s.addresses)
	router.POST("/query", s.query)
	s.http.Handler = router
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.ReadTimeout = headerTimeout
	s.http.IdleTimeout = idleTimeout
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		if err := s.http.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.Logger.Error("callers' listener failed", "error", err)
		}
	}()
	return nil
}

// Close stops listening and waits for the requests in progress until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close() // Ends the requests that did not finish in time.
	}
	<-s.done
	return errors.Wrap(err, "stop callers' listener")
}

func (s *Server) addresses(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Frontend.Addresses(c.QueryParam("domain")))
}

func (s *Server) query(c echo.Context) error {
	request := c.Request()
	body := http.MaxBytesReader(c.Response(), request.Body, encoder.MaxBody)
	query, refusal := encoder.DecodeQuery(body, s.Clock.Now())
	if refusal != nil {
		return c.JSON(Status(refusal), wigeonspindle.Answer{Verdict: refusal.Verdict, Refusal: refusal})
	}
	answer := s.Frontend.Query(request.Context(), query)
	if answer.Refusal != nil {
		if answer.Refusal.Code == wigeonspindle.CodeLeaving {
			c.Response().Header().Set("Connection", "close")
		}
		return c.JSON(Status(answer.Refusal), answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// Status returns the HTTP status of a refusal.
func Status(refusal *wigeonspindle.Refusal) int {
	switch refusal.Code {
	case wigeonspindle.CodeInvalid:
		return http.StatusBadRequest
	case wigeonspindle.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case wigeonspindle.CodeExpired:
		return http.StatusGatewayTimeout
	case wigeonspindle.CodeOverloaded:
		return http.StatusTooManyRequests
	case wigeonspindle.CodeConflict, wigeonspindle.CodeDuplicate:
		return http.StatusConflict
	case wigeonspindle.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case wigeonspindle.CodeDenied:
		return http.StatusUnauthorized
	}
	return http.StatusServiceUnavailable
}
