package selector_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// A cold replica can take its warm-up rate times coldFactor, plus coldSlack calls, in any
// second. Both values are requirements of the users.
const (
	coldFactor = 1.5
	coldSlack  = 5
)

// TestCold guards against hosts that together exceed the limit of a cold replica in some second,
// in particular when calls start after a pause or clocks jump, and against hosts that use less
// than half of its rate.
func TestCold(t *testing.T) {
	const seconds, step = 20, 10 * time.Millisecond
	for _, test := range []struct {
		hosts  int
		rate   float64
		pause  time.Duration // pause is the time without calls at the start.
		jumped time.Duration // jumped is how far the clocks of a third of the hosts jump halfway through.
	}{
		{hosts: 3, rate: 6},
		{hosts: 12, rate: 6},
		{hosts: 12, rate: 6, pause: 5 * time.Second},
		{hosts: 60, rate: 6, pause: 5 * time.Second},
		{hosts: 107, rate: 2, pause: 10 * time.Second},
		{hosts: 4, rate: 50, pause: 5 * time.Second},
		{hosts: 12, rate: 8, jumped: 2400 * time.Millisecond},
		{hosts: 12, rate: 8, jumped: -2400 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d hosts, %v a second, pause %v, jump %v", test.hosts, test.rate, test.pause, test.jumped), func(t *testing.T) {
			deployment := newDeployment()
			deployment.Catalog.Pools["pool"] = wigeonspindle.Pool{Name: "pool", WarmupRate: test.rate}
			deployment.Replicas["pool"] = deployment.Replicas["pool"][:1]
			deployment.Replicas["pool"][0].WarmAt = at(time.Hour)
			hosts := newHosts(deployment, test.hosts, 0)
			var sent []time.Duration
			call := func(i int, after time.Duration) {
				now := at(after)
				if i%3 == 0 && after > seconds*time.Second/2 {
					now = now.Add(test.jumped)
				}
				if replica, ok := hosts[i].Pick(deployment, "pool", nil, expected, now); ok {
					hosts[i].RecordSend(replica, now)
					hosts[i].RecordResult(replica, now, expected, success(expected), now)
					sent = append(sent, after)
				}
			}
			for i := range hosts {
				call(i, 0)
			}
			for after := test.pause + time.Second; after < seconds*time.Second; after += step {
				for i := range hosts {
					call(i, after)
				}
			}
			if got, want := mostWithin(sent, time.Second), int(coldFactor*test.rate)+coldSlack; got > want {
				t.Errorf("calls in the worst second: got %d, want at most %d", got, want)
			}
			busy := (seconds*time.Second - test.pause - time.Second).Seconds()
			if got := float64(len(sent)) / busy; got > test.rate*1.1 || got < test.rate/2 {
				t.Errorf("calls a second: got %.1f, want about %v", got, test.rate)
			}
		})
	}
}
