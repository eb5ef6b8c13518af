package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/exchanger"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 10 * time.Second

// dialect reads the call ID and the signature of responses.
type dialect struct{}

func (dialect) RequestHeader(buffer []byte, call *wigeonspindle.Call, _ *wigeonspindle.Replica, _ time.Duration) []byte {
	return append(buffer, "GET /"+call.ID+" HTTP/1.1\r\nHost: h\r\n\r\n"...)
}

func (dialect) Response(response *http.Response, body []byte) *wigeonspindle.Response {
	return &wigeonspindle.Response{
		Status: response.StatusCode, Body: body, Signature: response.Header.Get("Seal"), CallID: response.Header.Get("Id"),
		Refused: response.StatusCode == http.StatusServiceUnavailable,
	}
}

// answer returns the bytes of a successful response.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// target is a fake replica that sends given bytes for each request.
type target struct {
	listener net.Listener
	accepted atomic.Int32
	requests atomic.Int32
	mutex    sync.Mutex
	conns    []net.Conn // conns holds all accepted connections.
}

// crash closes the listener and then all connections.
func (s *target) crash() {
	_ = s.listener.Close() // The target accepts no more connections even if this fails.
	s.closeConnections()
}

// closeConnections closes the open connections.
func (s *target) closeConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close() // Some are closed already.
	}
}

// newTarget starts a target. respond returns the bytes to send for a path, and whether to close
// the connection after them.
func newTarget(t *testing.T, respond func(path string) (text string, end bool)) *target {
	t.Helper()
	listener, err := net.Listen("tcp", simulator.ReservedAddress())
	if err != nil {
		t.Fatal(err)
	}
	target := &target{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.accepted.Add(1)
			target.mutex.Lock()
			target.conns = append(target.conns, conn)
			target.mutex.Unlock()
			go target.serve(conn, respond)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return target
}

func (s *target) serve(conn net.Conn, respond func(path string) (string, bool)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		text, end := respond(strings.TrimPrefix(request.URL.Path, "/"))
		if _, err := io.WriteString(conn, text); err != nil || end {
			return
		}
	}
}

// harness is a pool with the results and dial outcomes that it reported.
type harness struct {
	pool    *exchanger.Pool
	events  *queuer.Ring[exchanger.Event]
	results map[string]wigeonspindle.Exchange
	errs    map[string]error // errs holds the errors of the results.
	byJob   map[*exchanger.Job]wigeonspindle.Exchange
	dialled []bool // dialled holds whether each reported dial was accepted.
	replica *wigeonspindle.Replica
}

func newHarness(t *testing.T, address string) *harness {
	t.Helper()
	h := &harness{
		events: queuer.New[exchanger.Event](16), results: make(map[string]wigeonspindle.Exchange), errs: make(map[string]error),
		byJob:   make(map[*exchanger.Job]wigeonspindle.Exchange),
		replica: &wigeonspindle.Replica{ID: "r", Address: address},
	}
	stop := make(chan struct{})
	h.pool = &exchanger.Pool{
		Dialect: dialect{}, Clock: timekeeper.SystemClock{}, Events: h.events, Stop: stop,
		OnResult: func(job *exchanger.Job, exchange wigeonspindle.Exchange, err error) {
			h.results[job.Call.ID], h.errs[job.Call.ID], h.byJob[job] = exchange, err, exchange
		},
		OnDial: func(_ *wigeonspindle.Replica, err error, _ time.Time) { h.dialled = append(h.dialled, err == nil) },
	}
	t.Cleanup(func() {
		close(stop)
		h.pool.Close()
	})
	return h
}

func (h *harness) send(id string, limit int) (*exchanger.Job, bool) {
	call := &wigeonspindle.Call{ID: id, Method: http.MethodGet}
	job := &exchanger.Job{Call: call, Header: dialect{}.RequestHeader(nil, call, h.replica, 0)}
	return job, h.pool.Send(h.replica, job, limit, 0)
}

// wait processes events until a call has a result.
func (h *harness) wait(t *testing.T, id string) wigeonspindle.Exchange {
	t.Helper()
	h.waitUntil(t, "result of "+id, func() bool { _, ok := h.results[id]; return ok })
	return h.results[id]
}

// waitUntil processes events until a condition holds.
func (h *harness) waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for !condition() {
		select {
		case event := <-h.events.C():
			h.pool.HandleEvent(event)
		case <-timeout:
			t.Fatalf("%s: got none, want one", description)
		}
	}
}

// TestResponses guards against a response that is attributed to another request, a truncated
// response that is accepted, and a not-run verdict for a request that may have run.
func TestResponses(t *testing.T) {
	for _, test := range []struct {
		name    string
		text    string
		end     bool
		verdict wigeonspindle.Verdict
		code    wigeonspindle.Code
		body    string
		reused  bool
	}{
		{name: "complete", text: answer("one", "body"), verdict: wigeonspindle.Ran, body: "body", reused: true},
		{name: "refused", text: "HTTP/1.1 503 No\r\nId: one\r\nContent-Length: 0\r\n\r\n", verdict: wigeonspindle.NotRun, reused: true},
		{name: "chunked", text: "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", verdict: wigeonspindle.Ran, body: "body", reused: true},
		{name: "body until the connection closes", text: "HTTP/1.1 200 OK\r\nId: one\r\n\r\nbody", end: true, verdict: wigeonspindle.Ran, body: "body"},
		{name: "interim response first", text: "HTTP/1.1 100 Continue\r\n\r\n" + answer("one", "body"), verdict: wigeonspindle.Ran, body: "body", reused: true},
		{name: "truncated", text: strings.TrimSuffix(answer("one", "body"), "dy"), end: true, verdict: wigeonspindle.MayHaveRun, code: wigeonspindle.CodeBroken},
		{name: "no response", end: true, verdict: wigeonspindle.MayHaveRun, code: wigeonspindle.CodeBroken},
		{name: "not a response", text: "\x00\x01garbage\r\n\r\n", verdict: wigeonspindle.MayHaveRun, code: wigeonspindle.CodeBroken},
		{name: "answer to an earlier request first", text: answer("zero", "other") + answer("one", "body"), verdict: wigeonspindle.Ran, body: "body"},
		{name: "extra answer", text: answer("one", "body") + answer("one", "body"), verdict: wigeonspindle.Ran, body: "body"},
		{name: "only responses to other requests", text: answer("a", "") + answer("b", "") + answer("c", ""), verdict: wigeonspindle.MayHaveRun, code: wigeonspindle.CodeBroken},
		{name: "connection close", text: "HTTP/1.1 200 OK\r\nId: one\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", verdict: wigeonspindle.Ran},
	} {
		t.Run(test.name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			server := newTarget(t, func(path string) (string, bool) {
				if path == "one" {
					return test.text, test.end
				}
				return answer(path, ""), false
			})
			t.Run("exchange", func(t *testing.T) {
				h := newHarness(t, server.listener.Addr().String())
				if _, ok := h.send("one", 4); !ok {
					t.Fatal("send: got refused, want accepted")
				}
				got := h.wait(t, "one")
				if got.Verdict != test.verdict || got.Code != test.code {
					t.Errorf("result: got %v %q, want %v %q", got.Verdict, got.Code, test.verdict, test.code)
				}
				if got.Response != nil && string(got.Response.Body) != test.body {
					t.Errorf("body: got %q, want %q", got.Response.Body, test.body)
				}
				h.send("two", 4)
				if got, want := h.wait(t, "two").Verdict, wigeonspindle.Ran; got != want {
					t.Errorf("next verdict: got %v, want %v", got, want)
				}
				if got, want := server.accepted.Load() == 1, test.reused; got != want {
					t.Errorf("connection reused: got %v, want %v", got, want)
				}
				if got, want := server.requests.Load(), int32(2); got != want {
					t.Errorf("requests: got %d, want %d, each sent once", got, want)
				}
			})
			_ = server.listener.Close()
		})
	}
}

// TestRefusedConnection guards against a may-have-run verdict when nothing was sent.
func TestRefusedConnection(t *testing.T) {
	h := newHarness(t, simulator.ReservedAddress())
	h.send("one", 4)
	got := h.wait(t, "one")
	if got.Verdict != wigeonspindle.NotRun || got.Code != wigeonspindle.CodeUnreachable || got.Sent {
		t.Errorf("result: got %+v, want not run, unreachable and unsent", got)
	}
}

// TestLimit guards against more connections to a replica than the limit.
func TestLimit(t *testing.T) {
	release := make(chan struct{})
	server := newTarget(t, func(path string) (string, bool) {
		<-release
		return answer(path, ""), false
	})
	h := newHarness(t, server.listener.Addr().String())
	for i := range 5 {
		_, ok := h.send(fmt.Sprint(i), 2)
		if got, want := ok, i < 2; got != want {
			t.Errorf("send %d: got %v, want %v", i, got, want)
		}
	}
	if got, want := h.pool.Size(), 2; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
	close(release)
	h.wait(t, "0")
	h.wait(t, "1")
}

// TestAbort guards against an aborted job that keeps its connection to the replica open, and
// against an aborted job that never gets a result.
func TestAbort(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	server := newTarget(t, func(string) (string, bool) {
		<-hold
		return "", true
	})
	h := newHarness(t, server.listener.Addr().String())
	job, _ := h.send("one", 4)
	deadline := time.After(waitTimeout)
	for server.requests.Load() == 0 {
		select {
		case event := <-h.events.C():
			h.pool.HandleEvent(event)
		case <-time.After(time.Millisecond):
		case <-deadline:
			t.Fatal("request: got none, want one")
		}
	}
	h.pool.Abort("r", job)
	got := h.wait(t, "one")
	if got.Verdict != wigeonspindle.MayHaveRun || got.Code != wigeonspindle.CodeCancelled {
		t.Errorf("result: got %v %q, want may-have-run cancelled", got.Verdict, got.Code)
	}
}

// TestStaleConnection guards against a request on an idle connection that the replica has
// closed.
func TestStaleConnection(t *testing.T) {
	server := newTarget(t, func(path string) (string, bool) { return answer(path, ""), path == "one" })
	h := newHarness(t, server.listener.Addr().String())
	h.send("one", 4)
	h.wait(t, "one")
	timeout := time.After(waitTimeout)
	for h.pool.Size() > 0 { // The pool must detect the end without sending a request.
		select {
		case event := <-h.events.C():
			h.pool.HandleEvent(event)
		case <-timeout:
			t.Fatal("connections: got one, want none")
		}
	}
	h.send("two", 4)
	if got, want := h.wait(t, "two").Verdict, wigeonspindle.Ran; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
}

// TestRetainReplicas guards against connections that stay open to removed replicas.
func TestRetainReplicas(t *testing.T) {
	server := newTarget(t, func(path string) (string, bool) { return answer(path, ""), false })
	h := newHarness(t, server.listener.Addr().String())
	h.send("one", 4)
	h.wait(t, "one")
	h.pool.RetainReplicas(nil)
	if got, want := h.pool.Size(), 0; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// TestRenew guards against silent connections that stay open and requests that keep waiting
// on them.
func TestRenew(t *testing.T) {
	target := newTarget(t, func(path string) (string, bool) {
		if path == "stuck" {
			return "", false
		}
		return answer(path, "x"), false
	})
	h := newHarness(t, target.listener.Addr().String())
	h.send("stuck", 2)
	h.send("healthy", 2)
	h.wait(t, "healthy")
	h.pool.CloseSilent("r", time.Now())
	h.wait(t, "stuck")
	if got, want := h.results["stuck"].Code, wigeonspindle.CodeCancelled; got != want {
		t.Errorf("request on a silent connection: got code %q, want %q", got, want)
	}
	if got, want := h.results["stuck"].Verdict, wigeonspindle.MayHaveRun; got != want {
		t.Errorf("request on a silent connection: got %v, want %v", got, want)
	}
	h.send("next", 2)
	h.wait(t, "next")
	if got, want := target.accepted.Load(), int32(3); got != want {
		t.Errorf("connections: got %d, want %d, because the idle one was closed too", got, want)
	}
}

// TestTransient guards against hosts that serve few calls but together occupy all connections
// that a replica accepts.
func TestTransient(t *testing.T) {
	target := newTarget(t, func(path string) (string, bool) { return answer(path, "x"), false })
	h := newHarness(t, target.listener.Addr().String())
	h.send("kept", 1)
	h.wait(t, "kept")
	if got, want := h.pool.Size(), 1; got != want {
		t.Errorf("connections after a request: got %d, want %d", got, want)
	}
	h.pool.CloseAfterUse = true
	h.pool.RetainReplicas(map[string]bool{"r": true})
	if got, want := h.pool.Size(), 0; got != want {
		t.Errorf("connections after CloseAfterUse was set: got %d, want %d", got, want)
	}
	h.send("ended", 1)
	h.wait(t, "ended")
	if got, want := h.pool.Size(), 0; got != want {
		t.Errorf("connections after a request with CloseAfterUse: got %d, want %d", got, want)
	}
}

// TestCrashBesideIdleConnection guards against a crash that goes unnoticed because another
// connection to the replica was still open when the request broke.
func TestCrashBesideIdleConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	hold := make(chan struct{})
	s := newTarget(t, func(path string) (string, bool) {
		switch path {
		case "first":
			<-hold
		case "crash":
			return "", true
		}
		return answer(path, ""), false
	})
	h := newHarness(t, s.listener.Addr().String())
	h.send("first", 2)
	h.send("second", 2)
	h.wait(t, "second")
	close(hold)
	h.wait(t, "first") // Two connections are idle now.
	h.send("crash", 2)
	if got, want := h.wait(t, "crash").Code, wigeonspindle.CodeBroken; got != want {
		t.Fatalf("code of the request that crashes the replica: got %q, want %q", got, want)
	}
	h.dialled = nil
	s.crash()
	h.waitUntil(t, "dial of the replica after its last connection ended", func() bool { return len(h.dialled) > 0 })
	if h.dialled[0] {
		t.Error("dial of the crashed replica: got accepted, want refused")
	}
}

// TestIdleClosed guards against replicas that crash unnoticed at a host without requests in progress there.
func TestIdleClosed(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := newTarget(t, func(path string) (string, bool) { return answer(path, ""), false })
	h := newHarness(t, s.listener.Addr().String())
	var closed []string
	h.pool.OnIdleClosed = func(replica *wigeonspindle.Replica) { closed = append(closed, replica.ID) }
	h.send("first", 1)
	h.wait(t, "first")
	s.crash()
	h.waitUntil(t, "report of the closed connection", func() bool { return len(closed) > 0 })
	if got, want := closed[0], h.replica.ID; got != want {
		t.Errorf("replica that closed an idle connection: got %q, want %q", got, want)
	}
}

// TestWithdrawExcept guards against a request that is sent to a replica which no longer accepts work, because it was
// waiting for a connection to it.
func TestWithdrawExcept(t *testing.T) {
	target := newTarget(t, func(path string) (string, bool) { return answer(path, ""), false })
	h := newHarness(t, target.listener.Addr().String())
	h.send("kept", 4)
	h.pool.WithdrawExcept(map[string]bool{"r": true})
	h.wait(t, "kept")
	h.send("held", 1) // It takes the open connection, so the next ones wait for others.
	h.send("waiting", 4)
	h.pool.WithdrawExcept(map[string]bool{"other": true})
	got, ok := h.results["waiting"]
	if !ok || got.Verdict != wigeonspindle.NotRun || got.Sent {
		t.Errorf("waiting request: got %+v, want an unsent one that has not run", got)
	}
	if got, want := h.wait(t, "held").Verdict, wigeonspindle.Ran; got != want {
		t.Errorf("request that was sent before: got %v, want %v", got, want)
	}
	if got, want := target.requests.Load(), int32(2); got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
}
