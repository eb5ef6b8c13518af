package selector_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// TestQueueWait guards against a wait that is taken for long because a replica has paused, and against a long queue
// that is not noticed.
func TestQueueWait(t *testing.T) {
	report := func(took time.Duration, waiting int) wigeonspindle.Exchange {
		exchange := success(took)
		exchange.Response.Load = wigeonspindle.TargetLoad{Known: true, Running: 2, Waiting: waiting, Slots: 2}
		return exchange
	}
	for _, test := range []struct {
		name        string
		last        wigeonspindle.Exchange
		least, most time.Duration
	}{
		{"short queue", report(expected, 0), 0, expected},
		{"pause", report(20*expected, 1), 0, 2 * expected},
		{"long queue", report(6*expected, 10), 4 * expected, 8 * expected},
		{"no load report", success(expected), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, deployment := newSelector(), newDeployment()
			deployment.Replicas["pool"] = deployment.Replicas["pool"][:1]
			for i := range 20 {
				recordExchange(s, deployment, 0, report(expected, 0), at(time.Duration(i)*expected))
			}
			last := at(time.Second)
			recordExchange(s, deployment, 0, test.last, last)
			got := s.QueueWait(deployment, "pool", expected, last.Add(test.last.Took+time.Millisecond))
			if got < test.least || got > test.most {
				t.Errorf("expected time in the queue: got %v, want %v to %v", got, test.least, test.most)
			}
		})
	}
}
