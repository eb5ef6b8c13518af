package linker

import (
	"reflect"

	"wigeonspindle.example/wigeonspindle"
)

// heartbeatEncoder compresses the heartbeats of one direction of a stream: a heartbeat that
// equals the one before it is sent empty. Most heartbeats of a stable cell are equal, and each
// lists all hosts heard, so that sending them in full would cost traffic that grows with the
// square of the number of hosts.
type heartbeatEncoder struct {
	last wigeonspindle.Heartbeat
	sent bool
}

// omitUnchanged returns an empty heartbeat if the heartbeat equals the one sent last. It must
// be called immediately before the heartbeat is written, in the order of the stream.
func (e *heartbeatEncoder) omitUnchanged(heartbeat wigeonspindle.Heartbeat) wigeonspindle.Heartbeat {
	if e.sent && reflect.DeepEqual(e.last, heartbeat) {
		return wigeonspindle.Heartbeat{}
	}
	e.last, e.sent = heartbeat, true
	return heartbeat
}

// heartbeatDecoder restores the heartbeats that a heartbeatEncoder sent empty.
type heartbeatDecoder struct {
	last *wigeonspindle.Heartbeat
}

// restore returns the full heartbeat, or nil if the first heartbeat of a stream is empty.
func (d *heartbeatDecoder) restore(heartbeat *wigeonspindle.Heartbeat) *wigeonspindle.Heartbeat {
	if heartbeat.Host.Name != "" {
		d.last = heartbeat
	}
	return d.last
}
