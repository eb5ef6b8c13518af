package server_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/server"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// frontend answers after a delay, or refuses a query whose context ends first.
type frontend struct {
	delay time.Duration
}

func (f *frontend) Query(ctx context.Context, _ wigeonspindle.Query) wigeonspindle.Answer {
	select {
	case <-ctx.Done():
		refusal := &wigeonspindle.Refusal{Code: wigeonspindle.CodeCancelled, Verdict: wigeonspindle.MayHaveRun}
		return wigeonspindle.Answer{Verdict: refusal.Verdict, Refusal: refusal}
	case <-time.After(f.delay):
		return wigeonspindle.Answer{Verdict: wigeonspindle.Ran}
	}
}

func (f *frontend) Leaving() bool { return false }

func (f *frontend) Addresses(string) wigeonspindle.AddressAnswer {
	return wigeonspindle.AddressAnswer{TTL: wigeonspindle.Duration(time.Second)}
}

func start(t *testing.T, s *server.Server) string {
	t.Helper()
	s.Address, s.Clock, s.Logger = simulator.ReservedAddress(), timekeeper.SystemClock{}, log.New(io.Discard)
	if err := s.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := s.Close(context.Background()); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
	return "http://" + s.Address
}

func call(t *testing.T, method, url, body string) (int, wigeonspindle.Answer) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer wigeonspindle.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, answer
}

// TestRefusals guards against refused queries whose verdict is not not-run, such as those with an
// oversized body, and against operators' routes on the callers' listener.
func TestRefusals(t *testing.T) {
	url := start(t, &server.Server{Frontend: &frontend{}, Body: 2048})
	tests := []struct {
		name, method, path, body string
		status                   int
		code                     wigeonspindle.Code
	}{
		{"valid", "POST", "/query", `{"index":"lookup","body":"wool","budget":"1s"}`, 200, ""},
		{"oversized", "POST", "/query", `{"index":"lookup","body":"` + strings.Repeat("w", 2048) + `"}`, 413, wigeonspindle.CodeTooLarge},
		{"no budget", "POST", "/query", `{"index":"lookup","body":"wool"}`, 504, wigeonspindle.CodeExpired},
		{"repeated shard", "POST", "/query", `{"index":"a","shards":["s","s"],"budget":"1s"}`, 400, wigeonspindle.CodeInvalid},
		{"not UTF-8", "POST", "/query", "{\"index\":\"a\",\"body\":\"\xff\",\"budget\":\"1s\"}", 400, wigeonspindle.CodeInvalid},
		{"inventory", "GET", "/inventory", "", 404, wigeonspindle.CodeInvalid},
		{"domain", "PUT", "/domains/a", `{"out":true}`, 404, wigeonspindle.CodeInvalid},
		{"drain", "POST", "/drain", "", 404, wigeonspindle.CodeInvalid},
		{"metrics", "GET", "/metrics", "", 404, wigeonspindle.CodeInvalid},
		{"method", "GET", "/query", "", 405, wigeonspindle.CodeInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, answer := call(t, test.method, url+test.path, test.body)
			if status != test.status {
				t.Errorf("status: got %d, want %d", status, test.status)
			}
			if test.code == "" {
				return
			}
			if answer.Refusal == nil || answer.Refusal.Code != test.code || answer.Refusal.Verdict != wigeonspindle.NotRun {
				t.Errorf("refusal: got %v, want code %s and verdict not-run", answer.Refusal, test.code)
			}
		})
	}
}

// TestLongQuery guards against a read timeout that cancels a query whose body has been read.
func TestLongQuery(t *testing.T) {
	url := start(t, &server.Server{Frontend: &frontend{delay: 600 * time.Millisecond}, ReadTimeout: 200 * time.Millisecond})
	status, answer := call(t, "POST", url+"/query", `{"index":"lookup","body":"wool","budget":"1s"}`)
	if status != 200 || answer.Verdict != wigeonspindle.Ran {
		t.Errorf("answer: got status %d and verdict %s, want 200 and ran", status, answer.Verdict)
	}
}

// TestConnections guards against an unlimited number of open connections: a connection over the
// limit waits until another is closed.
func TestConnections(t *testing.T) {
	address := strings.TrimPrefix(start(t, &server.Server{Frontend: &frontend{}, Connections: 1}), "http://")
	first, second := dial(t, address), dial(t, address)
	if got := ask(t, first, time.Second); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("first connection: got %q, want an answer", got)
	}
	if got := ask(t, second, 200*time.Millisecond); got != "" {
		t.Errorf("second connection: got %q, want no answer while the first is open", got)
	}
	_ = first.Close()
	if got := ask(t, second, time.Second); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("second connection: got %q, want an answer", got)
	}
}

// TestOversized guards against a connection that is reset while the caller still sends an oversized
// body: the caller could not read that the request was not run.
func TestOversized(t *testing.T) {
	address := strings.TrimPrefix(start(t, &server.Server{Frontend: &frontend{}, Body: 4096}), "http://")
	connection := dial(t, address)
	write := func(text string) {
		if _, err := connection.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	write("POST /query HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4194304\r\n\r\n")
	for range 4 {
		write(strings.Repeat(" ", 1<<20))
		time.Sleep(300 * time.Millisecond) // A server that closes the connection early does so after 500 ms.
	}
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	got, err := io.ReadAll(connection)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 413") || !strings.Contains(string(got), `"code":"too-large","verdict":"not-run"`) {
		t.Errorf("answer: got %q (%v), want 413 and too-large with verdict not-run", got, err)
	}
}

// TestSlowRequest guards against a caller that occupies a connection by sending its body slowly.
func TestSlowRequest(t *testing.T) {
	address := strings.TrimPrefix(start(t, &server.Server{Frontend: &frontend{}, ReadTimeout: 200 * time.Millisecond}), "http://")
	connection := dial(t, address)
	if _, err := connection.Write([]byte("POST /query HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{")); err != nil {
		t.Fatal(err)
	}
	if got := ask(t, connection, 2*time.Second); !strings.HasPrefix(got, "HTTP/1.1 400") || !strings.Contains(got, "was not received") {
		t.Errorf("answer: got %q, want a refusal before the body is complete", got)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// ask sends a request for addresses and returns the first bytes received within the timeout.
func ask(t *testing.T, connection net.Conn, timeout time.Duration) string {
	t.Helper()
	if _, err := connection.Write([]byte("GET /addresses HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, 4096)
	n, _ := connection.Read(buffer)
	return string(buffer[:n])
}
