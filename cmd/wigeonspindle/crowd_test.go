package main_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Crowd and bound of TestCrowdQueries.
const (
	// crowdSize clients each hold back the last byte of crowdBodyBytes, the default limit of a body.
	crowdSize, crowdBodyBytes = 280, 1 << 20
	// crowdRequestMemoryMB is the setting buffer of the hosts.
	crowdRequestMemoryMB = 32
	// crowdMemory is the memory, in megabytes, of the smallest machines that the users name.
	crowdMemory = 206
	// crowdPeriod is how long the crowd stays before the host is examined.
	crowdPeriod = 3 * time.Second
)

// TestCrowdQueries guards against a host that runs out of memory when many callers hold back the ends of large queries.
func TestCrowdQueries(t *testing.T) {
	c := startCluster(t)
	address := c.settings[0].CallerAddress
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range crowdSize {
		clients.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /query HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", crowdBodyBytes)
			_, _ = io.WriteString(conn, strings.Repeat(" ", crowdBodyBytes-1)) // The host may close the connection first.
			<-stop
		})
	}
	time.Sleep(crowdPeriod)
	check := func(when string) {
		got := post(t, address, encoder.QueryRequest{Index: "lookup", Body: when, Budget: wigeonspindle.Duration(budget)})
		if got.err != nil || got.answer.Refusal != nil {
			t.Errorf("query %s: got %+v (%v), want an answer", when, got.answer, got.err)
		}
	}
	check("beside the crowd")
	close(stop)
	clients.Wait()
	check("after the crowd")
	select {
	case <-c.hosts[0].exited:
		t.Error("process: got an exit, want it to live")
		return
	default:
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.hosts[0].command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(data), "VmHWM:")
	text, _, _ = strings.Cut(text, "kB")
	peak, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := peak, crowdMemory<<10; got > want {
		t.Errorf("peak memory: got %d KB, want at most %d KB", got, want)
	} else {
		t.Logf("peak memory: %d KB", got)
	}
}
