package dispatcher_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// TestBodyOfCancelledCall guards against the body of a call that is kept after its caller has left, while a replica that does
// not answer holds the send: the memory that the caller had claimed is given back by then.
func TestBodyOfCancelledCall(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", simulator.ReservedAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	d := newDispatcher(timekeeper.SystemClock{}, nil)
	d.Run()
	defer d.Close()
	d.UpdateDeployment(orderDeployment(&wigeonspindle.Replica{ID: "r", Pool: "pool", Domain: "a", Address: listener.Addr().String(), Slots: 2}))
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		call := crashingCall()
		call.Body = make([]byte, 1<<20)
		reply := d.Handle(ctx, call)
		cancel()
		if reply.Refusal.Code != wigeonspindle.CodeCancelled {
			continue // The deployment state has not arrived.
		}
		if got := len(call.Body); got != 0 {
			t.Errorf("body kept after the caller has left: got %d bytes, want none", got)
		}
		return
	}
	t.Error("call: got refused until the timeout, want it to be sent")
}
