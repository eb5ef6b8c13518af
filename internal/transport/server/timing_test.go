package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// waitTimeout bounds the wait for the listener to act.
const waitTimeout = 10 * time.Second

// newListener starts a listener on a free port and returns an open connection to it.
func newListener(t *testing.T, limits wigeonspindle.CallLimits, handler http.HandlerFunc) net.Conn {
	t.Helper()
	listener := &server.Listener{
		Name: "test", Address: simulator.ReservedAddress(), Connections: 4, ReadTimeout: time.Minute, WriteTimeout: time.Minute, Logger: log.New(io.Discard),
		Handler: handler, Limits: func() wigeonspindle.CallLimits { return limits },
	}
	if err := listener.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		if err := listener.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	connection, err := net.Dial("tcp", listener.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() }) // Runs before the listener closes, which waits for its connections.
	if err := connection.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return connection
}

// TestArrival guards against answers that reach the caller after the latency objective because the
// round-trip time or the connect time was underestimated.
func TestArrival(t *testing.T) {
	type timing struct{ roundTrip, connectTime time.Duration }
	timings := make(chan timing, 2)
	connection := newListener(t, wigeonspindle.CallLimits{}, func(_ http.ResponseWriter, r *http.Request) {
		roundTrip, connectTime := server.ConnectionTiming(r.Context())
		timings <- timing{roundTrip, connectTime}
	})
	reader := bufio.NewReader(connection)
	for range 2 {
		if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatal(err)
		}
	}
	first, second := <-timings, <-timings
	if first.roundTrip <= 0 || first.roundTrip > waitTimeout {
		t.Errorf("round trip: got %v, want the time that the kernel measured", first.roundTrip)
	}
	if got, want := first.connectTime, first.roundTrip; got != want {
		t.Errorf("connect time of the first request: got %v, want %v", got, want)
	}
	if got, want := second, (timing{roundTrip: first.roundTrip}); got != want {
		t.Errorf("timing of the second request: got %v, want %v", got, want)
	}
}

// TestLimits guards against connections that stay open although their caller sends nothing, and
// against connections that are closed within their limits.
func TestLimits(t *testing.T) {
	const short, long = 100 * time.Millisecond, time.Minute
	for _, test := range []struct {
		name   string
		limits wigeonspindle.CallLimits
		send   string
		closed bool
	}{
		{"no header in time", wigeonspindle.CallLimits{HeaderTimeout: short, IdleTimeout: long}, "", true},
		{"incomplete header in time", wigeonspindle.CallLimits{HeaderTimeout: short, IdleTimeout: long}, "GET / HT", true},
		{"idle for too long", wigeonspindle.CallLimits{HeaderTimeout: long, IdleTimeout: short}, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"idle within the limit", wigeonspindle.CallLimits{HeaderTimeout: short, IdleTimeout: long}, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			connection := newListener(t, test.limits, func(http.ResponseWriter, *http.Request) {})
			if _, err := io.WriteString(connection, test.send); err != nil {
				t.Fatal(err)
			}
			if !test.closed {
				if err := connection.SetDeadline(time.Now().Add(5 * short)); err != nil {
					t.Fatal(err)
				}
			}
			_, err := io.ReadAll(connection)
			if got := err == nil; got != test.closed {
				t.Errorf("connection closed: got %v (%v), want %v", got, err, test.closed)
			}
		})
	}
}
