// Package recorder keeps a bounded history of events, and a hybrid logical clock that orders
// the events of all hosts.
package recorder

import (
	"math"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Recorder implements wigeonspindle.Recorder. New events overwrite the oldest ones.
type Recorder struct {
	Clock    wigeonspindle.Clock
	Host     string
	Domain   string
	Capacity int                     // Capacity is the number of events kept.
	Sink     wigeonspindle.EventSink // Sink receives each stamped event; nil means none.

	mutex     sync.Mutex
	lastStamp wigeonspindle.Timestamp
	events    []wigeonspindle.Event
	next      int
}

// Record stamps the event, stores it and passes it to the sink.
func (r *Recorder) Record(event wigeonspindle.Event) {
	event.Host = r.Host
	if event.Domain == "" {
		event.Domain = r.Domain
	}
	r.store(&event)
	if r.Sink != nil {
		r.Sink.Write(event)
	}
}

func (r *Recorder) store(event *wigeonspindle.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	event.Stamp = r.nextStamp()
	if len(r.events) < r.Capacity {
		r.events = append(r.events, *event)
		return
	}
	r.events[r.next] = *event
	r.next = (r.next + 1) % r.Capacity
}

// Stamp returns a stamp that is later than all stamps returned or observed before.
func (r *Recorder) Stamp() wigeonspindle.Timestamp {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.nextStamp()
}

// Observe advances the clock to the stamp of an incoming message, so that later stamps exceed
// it.
func (r *Recorder) Observe(stamp wigeonspindle.Timestamp) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.lastStamp.Less(stamp) {
		r.lastStamp = stamp
	}
}

// Events returns the stored events, the oldest first.
func (r *Recorder) Events() []wigeonspindle.Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := make([]wigeonspindle.Event, 0, len(r.events))
	events = append(events, r.events[r.next:]...)
	return append(events, r.events[:r.next]...)
}

// Select returns the stored events that match the filter, the oldest first.
func (r *Recorder) Select(filter wigeonspindle.EventFilter) []wigeonspindle.Event {
	return Select(r.Events(), filter)
}

func (r *Recorder) nextStamp() wigeonspindle.Timestamp {
	// Round strips the monotonic reading, so that stamps compare equal after encoding.
	now := r.Clock.Now().Round(0)
	switch {
	case now.After(r.lastStamp.Wall):
		r.lastStamp = wigeonspindle.Timestamp{Wall: now}
	case r.lastStamp.Logical == math.MaxUint32:
		// A counter that wraps around would order an effect before its cause.
		r.lastStamp = wigeonspindle.Timestamp{Wall: r.lastStamp.Wall.Add(time.Nanosecond)}
	default:
		r.lastStamp.Logical++
	}
	return r.lastStamp
}
