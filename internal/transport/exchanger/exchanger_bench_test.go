package exchanger_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/exchanger"
)

// BenchmarkExchange measures one exchange on a reused connection. The measurement includes the
// allocations of the fake replica, which sends a fixed response.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	response := answer("one", strings.Repeat("x", 400))
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			if _, err := conn.Write([]byte(response)); err != nil {
				return
			}
		}
	}()
	stop := make(chan struct{})
	events := queuer.New[exchanger.Event](16)
	done := false
	pool := &exchanger.Pool{
		Dialect: dialect{}, Clock: timekeeper.SystemClock{}, Events: events, Stop: stop,
		OnResult: func(*exchanger.Job, wigeonspindle.Exchange, error) { done = true },
	}
	defer func() {
		close(stop)
		pool.Close()
	}()
	replica := &wigeonspindle.Replica{ID: "r", Address: listener.Addr().String()}
	call := &wigeonspindle.Call{ID: "one", Method: http.MethodGet}
	b.ReportAllocs()
	for b.Loop() {
		job := &exchanger.Job{Call: call, Header: dialect{}.RequestHeader(nil, call, replica, time.Second)}
		if !pool.Send(replica, job, 1, 0) {
			b.Fatal("send: got refused, want accepted")
		}
		for done = false; !done; {
			pool.HandleEvent(<-events.C())
		}
	}
}
