package exchanger_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
)

// TestEndlessResponse guards against a replica that sends bytes without end, in the head or the body of
// a response, until the host's memory is used up or for as long as the caller waits.
func TestEndlessResponse(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	for name, test := range map[string]struct{ start, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "OK"},
		"header field":      {"HTTP/1.1 200 OK\r\nSeal: ", "s"},
		"header fields":     {"HTTP/1.1 200 OK\r\n", "Seal: s\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n", "0123456789abcdef"},
		"chunks":            {"HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"no answer":         {"", "\x00\xff"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			s := newEndlessTarget(t, test.start, strings.Repeat(test.repeated, 1000), &sent)
			h := newHarness(t, s.Addr().String())
			h.send("call", 1)
			if got := h.wait(t, "call"); got.Code != wigeonspindle.CodeBroken || got.Response != nil {
				t.Errorf("endless %s: got %+v, want a broken exchange", name, got)
			}
			const most = 32 << 20 // The largest body and what the sockets buffer.
			if got := sent.Load(); got > most {
				t.Errorf("bytes sent until the connection was closed: got %d, want at most %d", got, most)
			}
		})
	}
}

// newEndlessTarget starts a target that responds to each request with start and then block again and
// again. It counts the bytes.
func newEndlessTarget(t *testing.T, start, block string, sent *atomic.Int64) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for text := start; ; text = block {
					n, err := io.WriteString(conn, text)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return listener
}

// TestBodyMemory guards against large bodies that together exceed the memory of the host while they
// are read, and against memory that is not available again.
func TestBodyMemory(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	body := strings.Repeat("x", 600<<10)
	for name, test := range map[string]struct {
		respond func(path string) string
		memory  int64
		want    wigeonspindle.Code
	}{
		"enough for one":                   {func(path string) string { return answer(path, body) }, 1 << 20, ""},
		"too little":                       {func(path string) string { return answer(path, body) }, 512 << 10, wigeonspindle.CodeBroken},
		"enough for one of unknown length": {func(string) string { return "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n" + body }, 1 << 20, ""},
		"too little for unknown length":    {func(string) string { return "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n" + body }, 512 << 10, wigeonspindle.CodeBroken},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, func(path string) (string, bool) {
				text := test.respond(path)
				return text, !strings.Contains(text, "Content-Length")
			})
			h := newHarness(t, s.listener.Addr().String())
			h.pool.BodyMemory = test.memory
			for _, id := range []string{"first", "second"} { // The second needs the memory of the first.
				h.send(id, 1)
				got := h.wait(t, id)
				if got.Code != test.want {
					t.Errorf("%s: got code %q, want %q", id, got.Code, test.want)
				}
				if test.want == "" && (got.Response == nil || len(got.Response.Body) != len(body)) {
					t.Errorf("%s: got another body than the one sent", id)
				}
			}
		})
	}
}

// TestTruncatedResponse guards against a response that counts as complete although the replica closed
// the connection in the middle of its head or body.
func TestTruncatedResponse(t *testing.T) {
	for name, text := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 12\r\nX-Other: value\r\n\r\n0123456789ab",
		"chunked":    "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n0123456789ab\r\n0\r\n\r\n",
		"no length":  "HTTP/1.1 200 OK\r\nSeal: s\r\nConnection: close\r\n\r\n",
		"bare lines": "HTTP/1.1 200 OK\nSeal: s\nContent-Length: 2\n\nab",
		"interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, func(path string) (string, bool) {
				length, err := strconv.Atoi(path)
				if err != nil {
					return text, true
				}
				return text[:length], true
			})
			h := newHarness(t, s.listener.Addr().String())
			for length := range len(text) {
				id := strconv.Itoa(length)
				h.pool.CloseAfterUse = true
				h.send(id, 1)
				if got := h.wait(t, id); got.Code != wigeonspindle.CodeBroken || got.Response != nil {
					t.Errorf("response ending after %q: got %+v, want a broken exchange", text[:length], got.Response)
				}
			}
			h.send("whole", 1)
			if got := h.wait(t, "whole"); got.Response == nil || !got.Response.Success() {
				t.Errorf("whole response: got %+v, want a success", got)
			}
		})
	}
}

// TestLongErrors guards against error texts that quote a malformed response whole: they are logged for each send and
// would fill the memory of the log's queue.
func TestLongErrors(t *testing.T) {
	const most = 1024
	for name, text := range map[string]string{
		"status line":  strings.Repeat("\x00", 60<<10) + "\r\n\r\n",
		"header field": "HTTP/1.1 200 OK\r\n" + strings.Repeat("\x01", 60<<10) + "\r\n\r\n",
		"chunk length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("x", 60<<10) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := newTarget(t, func(string) (string, bool) { return text, true })
			h := newHarness(t, server.listener.Addr().String())
			h.send("call", 1)
			if got := h.wait(t, "call"); got.Code != wigeonspindle.CodeBroken {
				t.Errorf("malformed response: got %+v, want a broken exchange", got)
			}
			if err := h.errs["call"]; err == nil || len(err.Error()) > most {
				t.Errorf("text of the error: got %d bytes, want 1 to %d", len(err.Error()), most)
			}
		})
	}
}
