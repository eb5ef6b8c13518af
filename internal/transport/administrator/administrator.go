// Package administrator implements the HTTP listener for operators: the administration API,
// the health checks and the metrics.
package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
)

// Limits of the operators' listener.
const (
	maxConnections = 128
	readTimeout    = 30 * time.Second
	writeTimeout   = time.Minute
	// requestTimeout limits the handling of a request. It is shorter than writeTimeout, so that
	// the result can still be written.
	requestTimeout = 45 * time.Second
	// maxBodyBytes allows for an inventory of several indexes, each of up to 1 MB in the store.
	maxBodyBytes = 16 << 20
)

// Administrator serves the API for operators.
type Administrator struct {
	Address string
	// Token is the bearer token that all routes except /health, /ready and /metrics require.
	Token  string
	Host   wigeonspindle.Administration
	Meter  *Meter
	Clock  wigeonspindle.Clock
	Logger *log.Logger

	listener server.Listener
}

// Run starts to listen and to serve requests.
func (a *Administrator) Run() error {
	if a.Token == "" {
		return errors.New("the operators' listener needs a token")
	}
	a.listener = server.Listener{
		Name: "operators", Address: a.Address, Handler: a.Handler(), Connections: maxConnections,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, Logger: a.Logger,
	}
	return a.listener.Run()
}

// Close stops listening and waits for the requests in progress until ctx ends.
func (a *Administrator) Close(ctx context.Context) error { return a.listener.Close(ctx) }

// Handler returns the routes of the API.
func (a *Administrator) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = server.HandleError
	router.Use(limitRequest)
	router.GET("/health", a.health)
	router.GET("/ready", a.ready)
	router.GET("/metrics", echo.WrapHandler(a.Meter.Handler()))
	authorized := router.Group("", a.authorize)
	authorized.GET("/inventory", a.inventory)
	authorized.PUT("/inventory", a.putInventory)
	authorized.GET("/rules", a.rules)
	authorized.PUT("/rules", a.putRules)
	authorized.GET("/domains", a.domains)
	authorized.PUT("/domains/:name", a.putDomain)
	authorized.GET("/status", a.status)
	authorized.GET("/events", a.events)
	authorized.GET("/history", a.history)
	authorized.POST("/drain", a.drain)
	return router
}

// limitRequest is middleware that limits the body size and the duration of a request.
func limitRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		request := c.Request()
		ctx, cancel := context.WithTimeout(request.Context(), requestTimeout)
		defer cancel()
		request.Body = io.NopCloser(&server.Body{Source: request.Body, Limit: maxBodyBytes})
		c.SetRequest(request.WithContext(ctx))
		return next(c)
	}
}

// authorize is middleware that requires the bearer token. It compares in constant time, and
// hashes both tokens first so that the comparison does not reveal the token's length.
func (a *Administrator) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	want := sha256.Sum256([]byte(a.Token))
	return func(c echo.Context) error {
		scheme, token, _ := strings.Cut(c.Request().Header.Get(echo.HeaderAuthorization), " ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 || !strings.EqualFold(scheme, "Bearer") {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return writeRefusal(c, &wigeonspindle.Refusal{
				Code: wigeonspindle.CodeDenied, Verdict: wigeonspindle.NotRun, Message: "the bearer token is missing or wrong",
			})
		}
		return next(c)
	}
}

func (a *Administrator) health(c echo.Context) error {
	return c.JSON(http.StatusOK, encoder.Health{OK: true})
}

func (a *Administrator) ready(c echo.Context) error {
	status := a.Host.Status()
	if !status.Ready {
		return c.JSON(http.StatusServiceUnavailable, encoder.Health{Reason: status.NotReadyReason})
	}
	return c.JSON(http.StatusOK, encoder.Health{OK: true})
}

func (a *Administrator) status(c echo.Context) error { return c.JSON(http.StatusOK, a.Host.Status()) }

func (a *Administrator) events(c echo.Context) error {
	filter := wigeonspindle.EventFilter{Trace: c.QueryParam("trace"), Target: c.QueryParam("target")}
	for name, field := range map[string]*time.Time{"since": &filter.Since, "until": &filter.Until} {
		text := c.QueryParam(name)
		if text == "" {
			continue
		}
		value, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return writeRefusal(c, invalidField(name, "must be a time such as 2006-01-02T15:04:05.123Z"))
		}
		*field = value
	}
	events := a.Host.Events(filter)
	if events == nil {
		events = []wigeonspindle.Event{}
	}
	return c.JSON(http.StatusOK, encoder.EventList{Host: a.Host.Status().Host.Name, Events: events})
}

func (a *Administrator) history(c echo.Context) error {
	entries, err := a.Host.History(c.Request().Context())
	if err != nil {
		return writeError(c, err, wigeonspindle.NotRun)
	}
	if entries == nil {
		entries = []wigeonspindle.HistoryEntry{}
	}
	return c.JSON(http.StatusOK, encoder.HistoryList{Entries: entries})
}

func (a *Administrator) drain(c echo.Context) error {
	a.Host.Drain()
	return c.JSON(http.StatusAccepted, encoder.DrainResult{Leaving: true})
}

// writeRefusal responds with a refusal and the HTTP status for it.
func writeRefusal(c echo.Context, refusal *wigeonspindle.Refusal) error {
	return c.JSON(encoder.HTTPStatus(refusal), encoder.ErrorAnswer{Refusal: refusal})
}

// writeError responds with the refusal that err wraps. For any other error it responds with the
// given verdict, because only the calling handler knows whether the operation may have had an
// effect.
func writeError(c echo.Context, err error, verdict wigeonspindle.Verdict) error {
	var refusal *wigeonspindle.Refusal
	if !errors.As(err, &refusal) {
		refusal = &wigeonspindle.Refusal{Code: wigeonspindle.CodeUnavailable, Verdict: verdict, Message: err.Error()}
	}
	return writeRefusal(c, refusal)
}

func invalidField(field, message string) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{
		Code: wigeonspindle.CodeInvalid, Verdict: wigeonspindle.NotRun, Field: field, Message: message,
	}
}
