package server_test

import (
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

// TestCloseListener guards against a shutdown that fails because a client has opened a connection
// and sent nothing, and against one that succeeds although it interrupted a request.
func TestCloseListener(t *testing.T) {
	for _, test := range []struct {
		name   string
		send   string
		failed bool
	}{
		{"connection without a request", "", false},
		{"request in progress", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			defer close(release)
			address := simulator.ReservedAddress()
			listener := &server.Listener{
				Name: "test", Address: address, Connections: 4, ReadTimeout: time.Minute, WriteTimeout: time.Minute, Logger: log.New(io.Discard),
				Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					close(started)
					<-release
				}),
			}
			if err := listener.Run(); err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, test.send); err != nil {
				t.Fatal(err)
			}
			if test.send != "" {
				<-started
			} else {
				time.Sleep(50 * time.Millisecond) // Gives the server time to accept the connection.
			}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			err = listener.Close(ctx)
			if got, want := err != nil, test.failed; got != want {
				t.Errorf("shutdown failed: got %v (%v), want %v", got, err, want)
			}
		})
	}
}
