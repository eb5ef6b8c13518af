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

	"wigeonspindle.example/wigeonspindle/internal/transport/server"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// listen starts a listener with two places and returns its address.
func listen(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener := &server.Listener{
		Name: "test", Address: simulator.ReservedAddress(), Connections: 2, ReadTimeout: time.Minute, WriteTimeout: time.Minute, Logger: log.New(io.Discard),
		Handler: handler,
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
	return listener.Address
}

// open opens a connection and sends some bytes.
func open(t *testing.T, address, text string) net.Conn {
	t.Helper()
	connection := dial(t, address)
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	if err := connection.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return connection
}

// status returns the status of the next response, or 0 without one.
func status(connection net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestFullListener guards against callers that get no place because others send no whole request or do not use their
// connection, and against the end of a request that is being handled.
func TestFullListener(t *testing.T) {
	for _, test := range []struct {
		name, held string
		answered   bool // answered reports that the connections that hold the places get an answer first.
	}{
		{"nothing sent", "", false},
		{"part of a header", "GET / HT", false},
		{"part of a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbody", false},
		{"idle", wholeRequest, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := listen(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // Ends when the connection is closed.
			})
			for range 2 {
				held := open(t, address, test.held)
				if test.answered {
					if got, want := status(held), http.StatusOK; got != want {
						t.Fatalf("status of the first request: got %d, want %d", got, want)
					}
				}
			}
			if got, want := status(open(t, address, wholeRequest)), http.StatusOK; got != want {
				t.Errorf("status of a request on a new connection: got %d, want %d", got, want)
			}
		})
	}
	t.Run("being handled", func(t *testing.T) {
		handling, release := make(chan struct{}, 3), make(chan struct{})
		address := listen(t, func(_ http.ResponseWriter, r *http.Request) {
			if err := server.StartHandling(r.Context()); err != nil {
				t.Errorf("start of a request: got %v, want none", err)
			}
			handling <- struct{}{}
			<-release
		})
		first, second := open(t, address, wholeRequest), open(t, address, wholeRequest)
		<-handling
		<-handling
		third := open(t, address, wholeRequest)
		select {
		case <-handling:
			t.Error("third request: got handled, want it to wait for a place")
		case <-time.After(2 * time.Second):
		}
		close(release)
		for _, connection := range []net.Conn{first, second, third} {
			if got, want := status(connection), http.StatusOK; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			_ = connection.Close() // Frees the place for the next one.
		}
	})
}
