package recorder

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

const (
	// ringCapacity is the number of lines that can be queued for writing.
	ringCapacity = 1024
	// burstLines is the capacity of the token bucket that limits the rate.
	burstLines = 400
	// maxLineBytes bounds a line, and with ringCapacity the memory of the queue. Lines contain texts from outside, such
	// as the IDs of calls.
	maxLineBytes = 4 << 10
)

// LogWriter writes log lines asynchronously, so that logging never blocks the caller. Lines
// that exceed the rate or find the ring full are dropped, and their number is logged instead.
type LogWriter struct {
	Out            io.Writer
	Clock          wigeonspindle.Clock
	LinesPerSecond float64 // LinesPerSecond is the sustained rate.

	lines      *queuer.Ring[[]byte]
	mutex      sync.Mutex // mutex guards the tokens.
	tokens     float64
	lastRefill time.Time
	unreported atomic.Int64
	stop       chan struct{}
	running    sync.WaitGroup
}

// Run starts the goroutine that writes the lines.
func (w *LogWriter) Run() {
	w.lines = queuer.New[[]byte](ringCapacity)
	w.stop = make(chan struct{})
	w.tokens, w.lastRefill = burstLines, w.Clock.Now()
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		for {
			select {
			case line := <-w.lines.C():
				w.writeLine(line)
			case <-w.stop:
				for _, line := range w.lines.Drain(make([][]byte, 0, ringCapacity)) {
					w.writeLine(line)
				}
				w.writeLine(nil) // No later line would report the lines dropped at the end.
				return
			}
		}
	}()
}

// Close writes the queued lines and stops the goroutine.
func (w *LogWriter) Close() {
	close(w.stop)
	w.running.Wait()
}

// Write queues one line, of which it cuts off what exceeds maxLineBytes. It never blocks and never returns an error.
func (w *LogWriter) Write(line []byte) (int, error) {
	if !w.takeToken() || !w.lines.Offer(boundLine(line)) {
		w.unreported.Add(1)
	}
	return len(line), nil
}

// boundLine returns a copy of a line that has at most maxLineBytes.
func boundLine(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	end := fmt.Sprintf(" line_bytes=%d line_truncated=true\n", len(line))
	kept := bytes.TrimRight(line[:maxLineBytes-len(end)-1], "\\") // A backslash would escape the quote that follows.
	bounded := append(make([]byte, 0, maxLineBytes), kept...)
	if endsInQuotes(kept) {
		bounded = append(bounded, '"')
	}
	return append(bounded, end...)
}

// endsInQuotes reports whether the end of a text lies inside a quoted value.
func endsInQuotes(text []byte) bool {
	quoted := false
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++ // The next character is escaped.
		case '"':
			quoted = !quoted
		}
	}
	return quoted
}

// UnreportedDrops returns the number of dropped lines that have not been logged yet.
func (w *LogWriter) UnreportedDrops() int64 { return w.unreported.Load() }

// takeToken takes a token from the bucket and reports whether there was one.
func (w *LogWriter) takeToken() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Clock.Now()
	w.tokens = min(w.tokens+w.LinesPerSecond*now.Sub(w.lastRefill).Seconds(), burstLines)
	w.lastRefill = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// writeLine writes a line, followed by the number of lines dropped since the last report.
func (w *LogWriter) writeLine(line []byte) {
	if dropped := w.unreported.Swap(0); dropped > 0 {
		line = append(line, fmt.Sprintf("level=warn msg=\"log lines dropped\" lines=%d\n", dropped)...)
	}
	if len(line) == 0 {
		return
	}
	_, _ = w.Out.Write(line) // There is nowhere to report that the log cannot be written.
}
