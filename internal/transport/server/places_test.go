package server_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// listen starts a listener with two places and returns its address.
func listen(t *testing.T, memory *server.Memory, handler http.HandlerFunc) string {
	t.Helper()
	listener := &server.Listener{
		Name: "test", Address: simulator.ReservedAddress(), Connections: 2, ReadTimeout: time.Minute, WriteTimeout: time.Minute, Logger: log.New(io.Discard),
		Handler: handler, Memory: memory,
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
			address := listen(t, nil, func(_ http.ResponseWriter, r *http.Request) {
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
		address := listen(t, nil, func(_ http.ResponseWriter, r *http.Request) {
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

// TestReadBody guards against bodies that are changed by the way they are read, and against ones over the limit.
func TestReadBody(t *testing.T) {
	const limit = 40000
	address := listen(t, &server.Memory{Limit: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		body, err := server.ReadBody(w, r, limit)
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = w.Write(body) // The test reports a body that is not received.
		}
	})
	for _, test := range []struct{ size, status int }{{1, 200}, {4095, 200}, {4096, 200}, {4097, 200}, {16384, 200}, {16385, 200}, {limit, 200}, {limit + 1, 413}, {2 * limit, 413}} {
		body := strings.Repeat("abcdefg", test.size/7+1)[:test.size]
		for name, request := range map[string]string{
			"length": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", test.size, body),
			"chunks": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", body[:1], test.size, body),
		} {
			want := body
			if name == "chunks" {
				want = body[:1] + body
			}
			wantStatus := test.status
			if len(want) > limit {
				wantStatus = http.StatusRequestEntityTooLarge
			}
			connection := open(t, address, request)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Errorf("%s of %d bytes: got %v, want a response", name, test.size, err)
				continue
			}
			if got := response.StatusCode; got != wantStatus {
				t.Errorf("%s of %d bytes: got status %d, want %d", name, test.size, got, wantStatus)
			}
			if got, err := io.ReadAll(response.Body); wantStatus == http.StatusOK && string(got) != want {
				t.Errorf("%s of %d bytes: got a body of %d bytes (%v), want the one sent", name, test.size, len(got), err)
			}
			_ = connection.Close() // Frees the place for the next one.
		}
	}
}

// TestRequestMemory guards against a request that gives way without an answer that says that it has not run, and against
// memory that is not given back.
func TestRequestMemory(t *testing.T) {
	memory := &server.Memory{Limit: 100000}
	address := listen(t, memory, func(w http.ResponseWriter, r *http.Request) {
		_, err := server.ReadBody(w, r, 1<<20)
		if err == nil {
			err = server.StartHandling(r.Context())
		}
		switch {
		case errors.Is(err, wigeonspindle.ErrMemory):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	request := func(missing int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n%s", strings.Repeat("w", 90000-missing))
	}
	stalled := open(t, address, request(1))
	time.Sleep(1100 * time.Millisecond) // Requests younger than a second do not give way.
	whole := open(t, address, request(0))
	if got, want := status(whole), http.StatusOK; got != want {
		t.Errorf("status of a whole request: got %d, want %d", got, want)
	}
	if got, want := status(stalled), http.StatusServiceUnavailable; got != want {
		t.Errorf("status of a request without its end: got %d, want %d", got, want)
	}
	for deadline := time.Now().Add(waitTimeout); memory.Used() != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if got, want := memory.Used(), int64(0); got != want {
		t.Errorf("memory in use: got %d, want %d", got, want)
	}
}

// TestUnreadAnswer guards against answers that get no memory because another client does not read its own, and against an
// unread answer that looks complete.
func TestUnreadAnswer(t *testing.T) {
	const size = 16 << 20 // The buffers of a connection hold less.
	memory := &server.Memory{Limit: size * 5 / 4}
	body := make([]byte, size)
	address := listen(t, memory, func(w http.ResponseWriter, r *http.Request) {
		if err := server.StartReply(r.Context(), size); err != nil {
			t.Errorf("memory for an answer: got %v, want none", err)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_ = server.WriteBody(r.Context(), w, body) // The test reads what arrives.
	})
	unread := open(t, address, wholeRequest)
	eventually := time.Now().Add(waitTimeout)
	for memory.Used() == 0 && time.Now().Before(eventually) {
		time.Sleep(time.Millisecond)
	}
	for _, test := range []struct {
		name       string
		connection net.Conn
		complete   bool
	}{{"beside an unread answer", open(t, address, wholeRequest), true}, {"unread", unread, false}} {
		response, err := http.ReadResponse(bufio.NewReader(test.connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if complete := err == nil && len(got) == size; complete != test.complete {
			t.Errorf("answer %s: got %d bytes (%v), want complete %v", test.name, len(got), err, test.complete)
		}
	}
}
