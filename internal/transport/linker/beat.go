package linker

import (
	"reflect"

	"wigeonspindle.example/wigeonspindle"
)

// beatWriter shortens the heartbeats of one direction of a stream: a heartbeat equal to the
// one before is sent empty. Most heartbeats of a quiet cell are equal, and with the names of
// all hosts heard in each of them their size would grow with the square of the cell.
type beatWriter struct {
	last wigeonspindle.Heartbeat
	sent bool
}

// shorten must be called immediately before the heartbeat is written, in the order of the
// stream.
func (w *beatWriter) shorten(heartbeat wigeonspindle.Heartbeat) wigeonspindle.Heartbeat {
	if w.sent && reflect.DeepEqual(w.last, heartbeat) {
		return wigeonspindle.Heartbeat{}
	}
	w.last, w.sent = heartbeat, true
	return heartbeat
}

// beatReader restores shortened heartbeats.
type beatReader struct {
	last *wigeonspindle.Heartbeat
}

// restore returns the whole heartbeat, or nil for an empty one without one before it.
func (r *beatReader) restore(heartbeat *wigeonspindle.Heartbeat) *wigeonspindle.Heartbeat {
	if heartbeat.Host.Name != "" {
		r.last = heartbeat
	}
	return r.last
}
