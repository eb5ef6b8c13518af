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

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/exchanger"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// copier is a fake replica that sends a second copy of each response late: where the next response on the
// connection is due.
type copier struct {
	address     string
	connections atomic.Int32
	mutex       sync.Mutex
	sends       map[string]int // sends counts the requests with each path.
	// respond returns the response to the given send of a path, counted from 1.
	respond func(path string, send int) string
}

func newCopier(t *testing.T, respond func(path string, send int) string) *copier {
	t.Helper()
	listener, err := net.Listen("tcp", simulator.ReservedAddress())
	if err != nil {
		t.Fatal(err)
	}
	c := &copier{address: listener.Addr().String(), sends: make(map[string]int), respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.connections.Add(1)
			go c.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return c
}

func (c *copier) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		path := strings.TrimPrefix(request.URL.Path, "/")
		c.mutex.Lock()
		c.sends[path]++
		send := c.sends[path]
		c.mutex.Unlock()
		text := c.respond(path, send)
		if _, err := io.WriteString(conn, late+text); err != nil {
			return
		}
		late = text
	}
}

// TestLateCopyOfEarlierSend guards against a late second copy of the response to one send of a call that is taken
// for the response to the next send of the call: a call that has run is reported as refused, or the caller gets
// the response to another send.
func TestLateCopyOfEarlierSend(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nId: one\r\nContent-Length: 0\r\n\r\n"
	for _, test := range []struct {
		name   string
		first  string
		others int // others is the number of other calls between the two sends.
		limit  int
	}{
		{name: "refusal", first: refusal, limit: 4},
		{name: "refusal, one connection allowed", first: refusal, limit: 1},
		{name: "refusal, another call between", first: refusal, others: 1, limit: 4},
		{name: "failure", first: "HTTP/1.1 500 No\r\nId: one\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", limit: 4},
		{name: "success", first: answer("one", "first"), limit: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newCopier(t, func(path string, send int) string {
				if path == "one" && send == 1 {
					return test.first
				}
				return answer(path, fmt.Sprintf("%s, send %d", path, send))
			})
			h := newHarness(t, server.address)
			h.send("one", test.limit)
			h.wait(t, "one")
			for i := range test.others {
				other := fmt.Sprintf("other%d", i)
				h.send(other, test.limit)
				if got, want := string(h.wait(t, other).Response.Body), other+", send 1"; got != want {
					t.Errorf("response to another call: got %q, want %q", got, want)
				}
			}
			delete(h.results, "one")
			if _, ok := h.send("one", test.limit); !ok {
				t.Fatal("second send: got refused, want accepted")
			}
			got := h.wait(t, "one")
			if got.Verdict != wigeonspindle.Ran || got.Response == nil || string(got.Response.Body) != "one, send 2" {
				t.Errorf("second send: got %v %+v, want ran with the response to this send", got.Verdict, got.Response)
			}
		})
	}
}

// TestWaitingSendOfSameCall guards against a send that waits for a new connection and gets the one on which its call
// has just been answered.
func TestWaitingSendOfSameCall(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := newCopier(t, func(path string, send int) string {
		if send == 1 {
			close(arrived)
			<-release
		}
		return answer(path, fmt.Sprintf("send %d", send))
	})
	h := newHarness(t, server.address)
	first, _ := h.send("one", 4)
	h.waitUntil(t, "connection", func() bool { return len(h.dialled) > 0 })
	<-arrived
	second, _ := h.send("one", 4)
	close(release) // The first connection may become free before or after the second one is open.
	h.waitUntil(t, "results of both sends", func() bool { return len(h.byJob) == 2 })
	for want, job := range map[string]*exchanger.Job{"send 1": first, "send 2": second} {
		if got := h.byJob[job]; got.Response == nil || string(got.Response.Body) != want {
			t.Errorf("response to %s: got %+v, want its own", want, got.Response)
		}
	}
}

// TestConnectionReplaced guards against a connection whose memory for the IDs of calls grows as long as it is used.
func TestConnectionReplaced(t *testing.T) {
	server := newTarget(t, func(path string) (string, bool) { return answer(path, ""), false })
	h := newHarness(t, server.listener.Addr().String())
	const calls = 2500
	for i := range calls {
		id := fmt.Sprint(i)
		h.send(id, 1)
		h.wait(t, id)
		delete(h.results, id)
	}
	if got, least, most := server.accepted.Load(), int32(2), int32(calls/1000+1); got < least || got > most {
		t.Errorf("connections for %d calls: got %d, want %d to %d", calls, got, least, most)
	}
}
