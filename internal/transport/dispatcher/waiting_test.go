package dispatcher_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// refusalPeriod is how long the replicas of TestWaitingCallAfterDrain want no requests.
const refusalPeriod = 300 * time.Millisecond

// refusingDialect takes a 503 for a refusal for refusalPeriod.
type refusingDialect struct{ dialect }

func (refusingDialect) Response(response *http.Response, body []byte) *wigeonspindle.Response {
	decoded := dialect{}.Response(response, body)
	if decoded.Refused = response.StatusCode == http.StatusServiceUnavailable; decoded.Refused {
		decoded.RetryAfter = refusalPeriod
	}
	return decoded
}

// refusingTarget is a replica that refuses requests until ready is set.
type refusingTarget struct {
	address string
	ready   atomic.Bool
	refused atomic.Int32
	served  atomic.Int32
}

func newRefusingTarget(t *testing.T) *refusingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", simulator.ReservedAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &refusingTarget{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(connection)
		}
	}()
	return target
}

func (r *refusingTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		response := "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
		if r.ready.Load() {
			r.served.Add(1)
		} else {
			r.refused.Add(1)
			response = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		}
		if _, err := io.WriteString(connection, response); err != nil {
			return
		}
	}
}

// TestWaitingCallAfterDrain guards against a call that waits for the end of a refusal and is then sent to a replica
// that drains since: it is lost when the replica ends, although another one is free.
func TestWaitingCallAfterDrain(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // After the listeners have been closed.
	for first := range 2 {                     // The replica that refuses first is available first.
		draining, free := newRefusingTarget(t), newRefusingTarget(t)
		d := newDispatcher(&countingClock{}, make(chan wigeonspindle.Suspicion, 8))
		d.Dialect = refusingDialect{}
		d.Run()
		replica := func(id, address string, drains bool) *wigeonspindle.Replica {
			return &wigeonspindle.Replica{ID: id, Pool: "pool", Address: address, Domain: "a", Slots: 2, Draining: drains}
		}
		replicas := []*wigeonspindle.Replica{replica("draining", draining.address, false), replica("free", free.address, false)}
		if first == 1 {
			slices.Reverse(replicas)
		}
		d.UpdateDeployment(orderDeployment(replicas...))
		time.Sleep(10 * time.Millisecond) // The dispatcher takes the state before the call.
		replies := make(chan wigeonspindle.CallReply, 1)
		go func() {
			call := &wigeonspindle.Call{ID: "c", Method: http.MethodPost, Authority: "h", Path: "/x", RequestURI: "/x", Arrived: time.Now()}
			replies <- d.Handle(context.Background(), call)
		}()
		for deadline := time.Now().Add(waitTimeout); draining.refused.Load() == 0 || free.refused.Load() == 0; {
			if time.Now().After(deadline) {
				t.Fatal("refusals: got none from a replica, want one from each")
			}
			time.Sleep(time.Millisecond)
		}
		draining.ready.Store(true)
		free.ready.Store(true)
		d.UpdateDeployment(orderDeployment(replica("draining", draining.address, true), replica("free", free.address, false)))
		if reply := <-replies; reply.Response == nil || reply.Response.Status != http.StatusOK {
			t.Errorf("reply: got %+v, want the answer of the free replica", reply)
		}
		if got, want := draining.served.Load(), int32(0); got != want {
			t.Errorf("requests to the draining replica: got %d, want %d", got, want)
		}
		d.Close()
	}
}
