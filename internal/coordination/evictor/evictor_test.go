package evictor_test

import (
	"slices"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/coordination/evictor"
)

// start is the time at which the tests begin.
var start = time.Unix(1700000000, 0)

// TestChoosePlace guards against new connections that are kept out by connections whose clients send no whole request, and
// against the end of requests that are being handled.
func TestChoosePlace(t *testing.T) {
	type place struct {
		stage  evictor.Stage
		waited time.Duration
	}
	const none = -1
	for _, test := range []struct {
		name   string
		places []place
		victim int
		wait   time.Duration
	}{
		{"no place", nil, none, 0},
		{"all are handled", []place{{evictor.Handling, time.Hour}, {evictor.Handling, time.Minute}}, none, 0},
		{"the oldest incomplete request", []place{{evictor.Receiving, time.Second}, {evictor.Receiving, time.Minute}, {evictor.Handling, time.Hour}}, 1, 0},
		{"the longest idle one", []place{{evictor.Receiving, time.Second}, {evictor.Idle, time.Minute}}, 1, 0},
		{"an answer that is not read, last", []place{{evictor.Replying, time.Hour}, {evictor.Idle, 2 * time.Second}}, 1, 0},
		{"an answer that is not read, alone", []place{{evictor.Replying, 2 * time.Second}, {evictor.Replying, time.Hour}}, 1, 0},
		{"requests that have just begun", []place{{evictor.Receiving, 100 * time.Millisecond}, {evictor.Receiving, 50 * time.Millisecond}}, none, 150 * time.Millisecond},
		{"connections that have just been used", []place{{evictor.Idle, 900 * time.Millisecond}, {evictor.Replying, time.Millisecond}}, none, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var places []*evictor.Place
			for _, p := range test.places {
				places = append(places, &evictor.Place{Stage: p.stage, Since: start.Add(-p.waited)})
			}
			victim, wait := evictor.ChoosePlace(slices.Values(places), start)
			if got, want := slices.Index(places, victim), test.victim; got != want {
				t.Errorf("place that gives way: got %d, want %d", got, want)
			}
			if got, want := wait, test.wait; got != want {
				t.Errorf("wait: got %v, want %v", got, want)
			}
		})
	}
}
