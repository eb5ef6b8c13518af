// Package evictor decides which client gives way when the connections or the memory of a host are
// used up. Clients may hold back the end of a request, or not read an answer, for as long as they
// like, so a limit alone would let them keep everybody else out.
package evictor

import (
	"iter"
	"time"
)

const (
	// minReceiving is how long a connection may wait for the rest of a request before it gives way to a
	// new one. It covers a round trip and a lost packet.
	minReceiving = 250 * time.Millisecond
	// minIdle is how long a connection must have been without a request, or with an answer that the
	// client does not read, before it gives way to a new one.
	minIdle = time.Second
)

// Stage is what the connection of a client waits for.
type Stage uint8

// Stages of a connection.
const (
	// Receiving is a connection that waits for a request, or the rest of one.
	Receiving Stage = iota
	// Idle is a connection that waits for the next request after an answer.
	Idle
	// Handling is a connection whose request is complete and has no answer yet. It does not give way.
	Handling
	// Replying is a connection whose answer is being written.
	Replying
)

// String returns the name of the stage in logs.
func (s Stage) String() string {
	return [...]string{"receiving", "idle", "handling", "replying"}[s]
}

// Place is an open connection of a listener.
type Place struct {
	Stage Stage
	Since time.Time // Since is when the stage began.
}

// ChoosePlace returns the place that gives way to a new connection: the one that has waited longest
// for its client without an answer in progress, otherwise the one whose answer has been written for
// longest. If none may give way yet, it returns nil and the time until one may, which is 0 if there
// is none.
func ChoosePlace(places iter.Seq[*Place], now time.Time) (victim *Place, wait time.Duration) {
	for place := range places {
		least := minIdle
		switch place.Stage {
		case Handling:
			continue
		case Receiving:
			least = minReceiving
		}
		if left := least - now.Sub(place.Since); left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		if victim == nil || before(place, victim) {
			victim = place
		}
	}
	if victim != nil {
		wait = 0
	}
	return victim, wait
}

// before reports whether a gives way before b.
func before(a, b *Place) bool {
	if (a.Stage == Replying) != (b.Stage == Replying) {
		return b.Stage == Replying
	}
	return a.Since.Before(b.Since)
}
