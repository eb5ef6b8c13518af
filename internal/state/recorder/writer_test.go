package recorder_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open  chan struct{}
	mutex sync.Mutex
	text  strings.Builder
}

func (g *gate) Write(data []byte) (int, error) {
	<-g.open
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.Write(data)
}

// TestWriter guards against a host that waits for its log, and against lines that vanish
// without a count.
func TestWriter(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := &recorder.Writer{Out: out, Clock: timekeeper.System{}, Rate: 1}
	w.Run()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 5000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("writing to a blocked output: got blocked, want dropped lines")
	}
	if got := w.Dropped(); got < 4000 {
		t.Errorf("dropped lines: got %d, want all beyond the burst", got)
	}
	close(out.open)
	w.Close()
	if got, want := strings.Count(out.text.String(), "line\n"), 100; got < want {
		t.Errorf("written lines: got %d, want at least %d", got, want)
	}
	if got, want := out.text.String(), "log lines dropped"; !strings.Contains(got, want) {
		t.Errorf("output: got no %q", want)
	}
}
