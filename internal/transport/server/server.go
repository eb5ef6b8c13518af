// Package server provides the HTTP listener for callers, and the listener type that it shares with
// the operators' API.
package server

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Defaults and limits of the callers' listener.
const (
	readTimeout = 5 * time.Second
	// writeTimeout exceeds the longest budget, so that every answer can be written.
	writeTimeout       = encoder.MaxBudget + 15*time.Second
	defaultConnections = 4096
	defaultMemory      = 256 << 20
	// bodyCopies is the number of copies of a request's body while it is decoded: the JSON text, the
	// decoded string and the body of the query.
	bodyCopies = 3
)

// Server serves the HTTP API for callers.
type Server struct {
	Address     string
	Frontend    wigeonspindle.Frontend
	Clock       wigeonspindle.Clock
	Logger      *log.Logger
	Body        int64         // Body is the maximum request body in bytes; 0 means encoder.MaxBodyBytes.
	Memory      int64         // Memory bounds the memory of request bodies and answers in bytes; 0 means defaultMemory.
	Connections int           // Connections is the maximum number of open connections; 0 means defaultConnections.
	ReadTimeout time.Duration // ReadTimeout bounds the time to read a request; 0 means readTimeout.

	listener Listener
}

// Run listens and serves in the background.
func (s *Server) Run() error {
	router := echo.New()
	router.HTTPErrorHandler = HandleError
	router.GET("/addresses", s.addresses)
	router.POST("/query", s.query)
	s.listener = Listener{
		Name: "callers", Address: s.Address, Handler: router, Connections: s.Connections,
		ReadTimeout: s.ReadTimeout, WriteTimeout: writeTimeout, Logger: s.Logger,
		Memory: &Memory{Limit: s.Memory},
	}
	if s.Memory == 0 {
		s.listener.Memory.Limit = defaultMemory
	}
	if s.listener.Connections == 0 {
		s.listener.Connections = defaultConnections
	}
	if s.listener.ReadTimeout == 0 {
		s.listener.ReadTimeout = readTimeout
	}
	return s.listener.Run()
}

// Close stops listening and waits for the requests in progress until ctx ends.
func (s *Server) Close(ctx context.Context) error { return s.listener.Close(ctx) }

func (s *Server) addresses(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Frontend.Addresses(c.QueryParam("domain")))
}

func (s *Server) query(c echo.Context) error {
	request := c.Request()
	limit := s.Body
	if limit == 0 {
		limit = encoder.MaxBodyBytes
	}
	body := claimedReader{reader: &Body{Source: request.Body, Limit: limit}, claim: claimOf(request.Context()), copies: bodyCopies}
	query, refusal := encoder.DecodeQuery(&body, s.Clock.Now())
	if refusal == nil {
		if err := StartHandling(request.Context()); err != nil {
			c.Response().Header().Set("Connection", "close") // Reading from it has been interrupted.
			refusal = &wigeonspindle.Refusal{Code: wigeonspindle.CodeOverloaded, Verdict: wigeonspindle.NotRun, Message: err.Error()}
		}
	}
	if refusal != nil {
		return c.JSON(encoder.HTTPStatus(refusal), wigeonspindle.Answer{Verdict: refusal.Verdict, Refusal: refusal})
	}
	answer := s.Frontend.Query(request.Context(), query)
	if err := StartReply(request.Context(), answerBytes(answer)); err != nil {
		answer = wigeonspindle.Answer{ID: answer.ID, Trace: answer.Trace, Verdict: wigeonspindle.MayHaveRun, Refusal: &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeOverloaded, Verdict: wigeonspindle.MayHaveRun, Message: err.Error(),
		}}
	}
	if s.Frontend.Leaving() || answer.Refusal != nil && answer.Refusal.Code == wigeonspindle.CodeLeaving {
		// The caller should connect to another host. On a connection that stays open, its next
		// request could be lost when the listener closes at the end of the shutdown.
		c.Response().Header().Set("Connection", "close")
	}
	if answer.Refusal != nil {
		return c.JSON(encoder.HTTPStatus(answer.Refusal), answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// answerBytes returns the size of the bodies in an answer.
func answerBytes(answer wigeonspindle.Answer) int {
	size := 0
	for _, result := range answer.Results {
		size += len(result.Body)
	}
	return size
}
