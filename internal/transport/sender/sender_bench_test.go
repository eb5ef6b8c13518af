package sender_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/sender"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// BenchmarkSend measures one attempt at a target over HTTP, with two slots as the targets
// have. The stand-in answers fixed bytes, so that nearly all of the processor time is the
// sender's. The metric cpu-ns/op is the processor time of both.
func BenchmarkSend(b *testing.B) {
	address := serveFixed(b)
	target := wigeonspindle.Target{Name: "lookup-17-b", Address: address, Slots: 2, Connections: 50}
	s := &sender.Sender{Clock: systemClock{}}
	defer func() { _ = s.Close() }()
	var waiting sync.WaitGroup
	before := processorTime(b)
	b.ResetTimer()
	for slot := range target.Slots {
		waiting.Go(func() {
			for i := slot; i < b.N; i += target.Slots {
				attempt := wigeonspindle.Attempt{
					Target: target.Name, Shard: "lookup-17", Snapshot: "v1", Class: wigeonspindle.Idempotent,
					Body: make([]byte, 100), Deadline: time.Now().Add(time.Second),
				}
				if outcome := s.Send(context.Background(), target, attempt); !outcome.Answered() {
					b.Errorf("outcome: got %s %s, want an answer", outcome.Code, outcome.Message)
				}
			}
		})
	}
	waiting.Wait()
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// serveFixed answers every request with the same bytes, without parsing beyond its end.
func serveFixed(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerFixed(connection)
		}
	}()
	return listener.Addr().String()
}

func answerFixed(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	answer := []byte("HTTP/1.1 200 OK\r\nIndex-Snapshot: v1\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100))
	reader := bufio.NewReader(connection)
	for {
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 {
				break
			}
		}
		if _, err := reader.Discard(100); err != nil {
			return
		}
		if _, err := connection.Write(answer); err != nil {
			return
		}
	}
}

// processorTime returns the user and system time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
