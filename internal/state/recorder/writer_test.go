package recorder_test

import (
	"bytes"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
)

// blockedWriter is an output on which writes block until open is closed.
type blockedWriter struct {
	open  chan struct{}
	mutex sync.Mutex
	text  strings.Builder
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.open
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(data)
}

const (
	burst = 5000
	// minWritten and maxWritten bound the lines that are written when burst lines arrive at
	// once: the token bucket holds 400, and it gains at most 20 more during a test that takes up
	// to 10 s at one line per second.
	minWritten, maxWritten = 400, 420
)

// String returns the written text.
func (w *blockedWriter) String() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.String()
}

// TestLogWriter guards against logging that blocks the host when the output blocks, and against
// dropped lines that are not counted.
func TestLogWriter(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := &recorder.LogWriter{Out: out, Clock: timekeeper.SystemClock{}, LinesPerSecond: 1}
	w.Run()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range burst {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing to a blocked output: got blocked, want dropped lines")
	}
	close(out.open)
	w.Close()
	written, dropped := countLines(t, out.String())
	if got, want := written+dropped, burst; got != want {
		t.Errorf("lines written or reported as dropped: got %d and %d, want %d together", written, dropped, want)
	}
	if written < minWritten || written > maxWritten {
		t.Errorf("written lines: got %d, want %d to %d", written, minWritten, maxWritten)
	}
	if got := w.UnreportedDrops(); got != 0 {
		t.Errorf("dropped lines without a report: got %d, want 0", got)
	}
}

// TestLogWriterClose guards against dropped lines that are never reported: when the writer is
// closed while lines exceed the rate, no later line reports them, so Close must.
func TestLogWriterClose(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	close(out.open)
	w := &recorder.LogWriter{Out: out, Clock: &fixedClock{now: time.Unix(1_700_000_000, 0)}, LinesPerSecond: 1}
	w.Run()
	for i := range maxWritten {
		_, _ = w.Write([]byte("line\n"))
		for i < minWritten && strings.Count(out.String(), "line\n") <= i {
			runtime.Gosched() // Empties the ring, so that no queued line reports the dropped ones.
		}
	}
	w.Close()
	written, dropped := countLines(t, out.String())
	if got, want := written+dropped, maxWritten; got != want {
		t.Errorf("lines written or reported as dropped: got %d and %d, want %d together", written, dropped, want)
	}
}

// fixedClock is a clock that always returns the same time.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

// countLines returns the number of written lines and the number reported as dropped.
func countLines(t *testing.T, text string) (written, dropped int) {
	t.Helper()
	for _, match := range regexp.MustCompile(`log lines dropped" lines=(\d+)`).FindAllStringSubmatch(text, -1) {
		lines, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		dropped += lines
	}
	return strings.Count(text, "line\n"), dropped
}

// TestLongLines guards against a queue of log lines that uses up the memory of a host because the lines contain long texts
// from outside.
func TestLongLines(t *testing.T) {
	out := &bytes.Buffer{}
	w := &recorder.LogWriter{Out: out, Clock: &clock{now: start}, LinesPerSecond: 1}
	w.Run()
	value := strings.Repeat("x", 60<<10)
	for _, line := range []string{"level=info call=" + value + "\n", "level=info call=\"" + value + "\"\n", "level=info msg=short\n"} {
		if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
			t.Errorf("write: got %d and %v, want %d and no error", n, err, len(line))
		}
	}
	w.Close()
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(lines) != 3 || lines[2] != "level=info msg=short" {
		t.Fatalf("lines: got %d, want two long ones and the short one", len(lines))
	}
	for i, want := range []string{"x line_bytes=61457 line_truncated=true", "x\" line_bytes=61459 line_truncated=true"} {
		if got, most := len(lines[i]), 4<<10; got > most || !strings.HasSuffix(lines[i], want) {
			t.Errorf("long line: got %d bytes that end with %q, want at most %d that end with %q", got, lines[i][max(got-60, 0):], most, want)
		}
	}
}
