package sender_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// pausedClock jumps ahead after its first reading, as if the process had been paused.
type pausedClock struct {
	pause time.Duration
	calls atomic.Int32
}

func (c *pausedClock) Now() time.Time {
	if c.calls.Add(1) > 1 {
		return time.Now().Add(c.pause)
	}
	return time.Now()
}

// serveRaw listens on a loopback address, passes each connection to handle and then closes it.
func serveRaw(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", simulator.ReservedAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func replyWith(reply string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte(reply))
	}
}

func newAttempt(class wigeonspindle.Class, budget time.Duration) wigeonspindle.Attempt {
	return wigeonspindle.Attempt{Target: "t", Snapshot: "v1", Shard: "s1", Class: class, Body: []byte("wool"), Deadline: time.Now().Add(budget)}
}

// TestClassify guards against a verdict that the exchange does not prove, a failure wrongly
// reported as a crash, and an answer without the snapshot that it belongs to.
func TestClassify(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nIndex-Snapshot: v1\r\nContent-Length: 4\r\n"
	tests := []struct {
		name    string
		handle  func(net.Conn)
		pause   time.Duration
		verdict wigeonspindle.Verdict
		code    wigeonspindle.Code
		crashed bool
		version string
	}{
		{"answered", replyWith(head + "\r\nwool"), 0, wigeonspindle.Ran, "", false, "v1"},
		{"other snapshot", replyWith(strings.Replace(head, "v1", "v2", 1) + "\r\nwool"), 0, wigeonspindle.Ran, "", false, "v2"},
		{"no snapshot named", replyWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwool"), 0, wigeonspindle.Ran, "", false, ""},
		{"refused connection", nil, 0, wigeonspindle.NotRun, wigeonspindle.CodeUnreachable, false, "v1"},
		{"paused before the write", replyWith(head + "\r\nwool"), time.Minute, wigeonspindle.NotRun, wigeonspindle.CodeExpired, false, "v1"},
		{"cut before the answer", replyWith(""), 0, wigeonspindle.MayHaveRun, wigeonspindle.CodeBroken, true, "v1"},
		{"cut in the answer", replyWith(head + "\r\nwo"), 0, wigeonspindle.MayHaveRun, wigeonspindle.CodeBroken, true, "v1"},
		{"late", func(net.Conn) { time.Sleep(400 * time.Millisecond) }, 0, wigeonspindle.MayHaveRun, wigeonspindle.CodeExpired, false, "v1"},
		{"late in the answer", func(conn net.Conn) {
			replyWith(head + "\r\nwo")(conn)
			time.Sleep(400 * time.Millisecond)
		}, 0, wigeonspindle.MayHaveRun, wigeonspindle.CodeExpired, false, "v1"},
		{"shed", replyWith("HTTP/1.1 503 Busy\r\nRequest-Refused: shed\r\nContent-Length: 0\r\n\r\n"), 0, wigeonspindle.NotRun, wigeonspindle.CodeShed, false, "v1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := "127.0.0.1:1"
			if test.handle != nil {
				address = serveRaw(t, test.handle)
			}
			s := &sender.Sender{Clock: &pausedClock{pause: test.pause}}
			target := wigeonspindle.Target{Name: "t", Address: address, Slots: 2, Connections: 8}
			got := s.Send(t.Context(), target, newAttempt(wigeonspindle.ClassIdempotent, 200*time.Millisecond))
			_ = s.Close()
			if got.Verdict != test.verdict || got.Code != test.code || got.Crashed != test.crashed || got.Snapshot != test.version {
				t.Errorf("got %s %q crashed %v snapshot %q, want %s %q crashed %v snapshot %q",
					got.Verdict, got.Code, got.Crashed, got.Snapshot, test.verdict, test.code, test.crashed, test.version)
			}
		})
	}
}

// TestCancelled guards against a cancelled attempt that is reported as not run although its
// bytes were written, or that is reported as a crash.
func TestCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &sender.Sender{Clock: &pausedClock{}}
	address := serveRaw(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 4096))
		cancel()
		time.Sleep(50 * time.Millisecond)
	})
	got := s.Send(ctx, wigeonspindle.Target{Name: "t", Address: address, Slots: 1, Connections: 8}, newAttempt(wigeonspindle.ClassOnce, time.Second))
	if got.Verdict != wigeonspindle.MayHaveRun || got.Code != wigeonspindle.CodeCancelled || got.Crashed {
		t.Errorf("got %s %q crashed %v, want may-have-run, cancelled, no crash", got.Verdict, got.Code, got.Crashed)
	}
}

// TestConnections guards against more open connections than half of the target's limit,
// including when the limit changes under load, with probes and with preconnected connections.
func TestConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	var mutex sync.Mutex
	open, peak := 0, 0
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		w.Header().Set(encoder.HeaderSnapshot, "v1")
		_, _ = w.Write([]byte("{}"))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		mutex.Lock()
		defer mutex.Unlock()
		switch state {
		case http.StateNew:
			open++
			peak = max(peak, open)
		case http.StateClosed:
			open--
		}
	}
	server.Start()
	defer server.Close()
	s := &sender.Sender{Clock: &pausedClock{}}
	defer func() { _ = s.Close() }()
	address := strings.TrimPrefix(server.URL, "http://")
	s.Preconnect(t.Context(), wigeonspindle.Target{Name: "t", Address: address, Slots: 4, Connections: 12})
	var senders sync.WaitGroup
	var answered atomic.Int32
	for _, limit := range []int{12, 10} {
		target := wigeonspindle.Target{Name: "t", Address: address, Slots: 4, Connections: limit}
		// The server needs time to notice the connections that a changed limit closed.
		s.CloseIdle("t")
		_, _ = s.Probe(t.Context(), target)
		time.Sleep(50 * time.Millisecond)
		for i := range 20 {
			senders.Go(func() {
				for range 10 {
					if s.Send(t.Context(), target, newAttempt(wigeonspindle.ClassIdempotent, time.Second)).Answered() {
						answered.Add(1)
					}
					if i == 0 {
						_, _ = s.Probe(t.Context(), target)
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
		senders.Wait()
	}
	mutex.Lock()
	defer mutex.Unlock()
	// The server notices a closed connection late, so one closed connection may still count.
	if peak > 6+1 || answered.Load() < 390 {
		t.Errorf("got %d connections and %d answers, want at most 6 and 400", peak, answered.Load())
	}
}

// TestSilent guards against an idempotent attempt that waits for its deadline on a silent
// connection while the target answers on others, and against retrying a once request.
func TestSilent(t *testing.T) {
	stop := make(chan struct{})
	var silent sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := silent.Load(r.RemoteAddr); ok && r.URL.Path == "/run" {
			<-stop
			return
		}
		if r.URL.Path == "/run" {
			silent.Store(r.RemoteAddr, true)
		}
		w.Header().Set(encoder.HeaderSnapshot, "v1")
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	defer close(stop)
	s := &sender.Sender{Clock: &pausedClock{}}
	defer func() { _ = s.Close() }()
	target := wigeonspindle.Target{Name: "t", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 2, Connections: 12}
	tests := []struct {
		class wigeonspindle.Class
		code  wigeonspindle.Code
		early bool
	}{{wigeonspindle.ClassIdempotent, "", true}, {wigeonspindle.ClassIdempotent, wigeonspindle.CodeSilent, true}, {wigeonspindle.ClassIdempotent, "", true}, {wigeonspindle.ClassOnce, wigeonspindle.CodeExpired, false}}
	for i, test := range tests {
		got := s.Send(t.Context(), target, newAttempt(test.class, 700*time.Millisecond))
		if got.Code != test.code || got.Crashed || (got.Took < 500*time.Millisecond) != test.early {
			t.Errorf("attempt %d: got %q after %s, crashed %v, want %q before the deadline: %v", i, got.Code, got.Took, got.Crashed, test.code, test.early)
		}
	}
}
