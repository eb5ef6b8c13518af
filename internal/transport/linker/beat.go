package linker

import (
	"reflect"

	"wigeonspindle.example/wigeonspindle"
)

// heartbeatWriter shortens the heartbeats of one direction of a stream: a heartbeat equal to the
// one before is sent empty. Most heartbeats of a quiet cell are equal, and with the names of
// all hosts heard in each of them their size would grow with the square of the cell.
type heartbeatWriter struct {
	last wigeonspindle.Heartbeat
	sent bool
}

// shorten must be called immediately before the heartbeat is written, in the order of the
// stream.
func (w *heartbeatWriter) shorten(heartbeat wigeonspindle.Heartbeat) wigeonspindle.Heartbeat {
	if w.sent && reflect.DeepEqual(w.last, heartbeat) {
		return wigeonspindle.Heartbeat{}
	}
	w.last, w.sent = heartbeat, true
	return heartbeat
}

// heartbeatReader restores shortened heartbeats.
type heartbeatReader struct {
	last *wigeonspindle.Heartbeat
}

// restore returns the whole heartbeat, or nil for an empty one without one before it.
func (r *heartbeatReader) restore(heartbeat *wigeonspindle.Heartbeat) *wigeonspindle.Heartbeat {
	if heartbeat.Host.Name != "" {
		r.last = heartbeat
	}
	return r.last
}
