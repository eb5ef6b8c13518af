package simulator

import (
	"bufio"
	"fmt"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
)

// StaticTarget is a target that writes the same precomputed response to every request. It uses
// little processor time, so that benchmarks measure the cost of the sender.
type StaticTarget struct {
	Size int // Size is the length in bytes of request and response bodies.

	listener net.Listener
	answer   []byte
}

// Run listens on a loopback address and starts serving.
func (t *StaticTarget) Run() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for requests to the static target")
	}
	t.listener = listener
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nIndex-Snapshot: v1\r\nContent-Length: %d\r\n\r\n", t.Size)
	t.answer = []byte(head + strings.Repeat("x", t.Size))
	go t.accept()
	return nil
}

// Address returns the address of the target.
func (t *StaticTarget) Address() string { return t.listener.Addr().String() }

// Close stops listening. Connections end when their peers close them.
func (t *StaticTarget) Close() error { return t.listener.Close() }

func (t *StaticTarget) accept() {
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(connection)
	}
}

func (t *StaticTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		for line := []byte("head"); len(line) > 2; {
			var err error
			if line, err = reader.ReadSlice('\n'); err != nil {
				return
			}
		}
		if _, err := reader.Discard(t.Size); err != nil {
			return
		}
		if _, err := connection.Write(t.answer); err != nil {
			return
		}
	}
}
