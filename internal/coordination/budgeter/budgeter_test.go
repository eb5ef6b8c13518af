package budgeter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonspindle.example/wigeonspindle/internal/coordination/budgeter"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// TestTake guards against hosts that together exceed the configured bound on repeated sends.
func TestTake(t *testing.T) {
	const hosts, calls = 12, 900
	total := 0
	for range hosts {
		b := &budgeter.Budgeter{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}
		for i := range calls / hosts {
			b.RecordCall("pool", start.Add(time.Duration(i)*time.Millisecond))
		}
		for b.AllowRepeat("pool", hosts, start.Add(time.Second)) {
			total++
		}
	}
	if got, limit := total, int(0.2*calls+104); got > limit || got < limit/2 {
		t.Errorf("repeated sends of %d hosts: got %d, want between half of %d and that", hosts, got, limit)
	}
}

// TestWindow guards against a budget that does not recover after the window has passed, and
// against one that recovers earlier.
func TestWindow(t *testing.T) {
	b := &budgeter.Budgeter{Slack: 10, Window: 10 * time.Second}
	for b.AllowRepeat("pool", 1, start) {
		continue
	}
	if b.AllowRepeat("pool", 1, start.Add(9*time.Second)) {
		t.Error("send within the window: got one more, want none")
	}
	if !b.AllowRepeat("pool", 1, start.Add(10500*time.Millisecond)) {
		t.Error("send after the window: got none, want one")
	}
	if got := b.Utilization("pool", 1, start.Add(time.Hour)); got != 0 {
		t.Errorf("utilization after an hour: got %v, want 0", got)
	}
}

// TestSliding guards against windows, at any position, with more repeated sends than allowed.
func TestSliding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &budgeter.Budgeter{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		var calls, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "call") {
				b.RecordCall("pool", now)
				calls = append(calls, now)
			}
			if b.AllowRepeat("pool", 1, now) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			// A call may count in the window that it falls into and in the next one.
			got := count(repeats, end.Add(-9500*time.Millisecond), end)
			if limit := 0.2*float64(count(calls, end.Add(-20*time.Second), end)) + 20; float64(got) > limit {
				t.Fatalf("repeated sends in the window before %v: got %d, want at most %v", end, got, limit)
			}
		}
	})
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}

// TestTransition guards against exceeding the bound while hosts start to serve. On a large
// site, 8 hosts that used an eighth of the slack each were joined within one window by 60
// hosts that used a sixtieth each.
func TestTransition(t *testing.T) {
	const before, after, calls = 8, 65, 1200
	total := 0
	for host := range after {
		b := &budgeter.Budgeter{Ratio: 0.2, Slack: 278, Window: 10 * time.Second}
		for i := range calls / after {
			b.RecordCall("pool", start.Add(time.Duration(i)*time.Millisecond))
		}
		hosts := after
		if host < before {
			hosts = before
		}
		for b.AllowRepeat("pool", hosts, start.Add(time.Second)) {
			total++
		}
	}
	if got, limit := total, int(0.2*calls+278); got > limit {
		t.Errorf("repeated sends: got %d, want at most %d", got, limit)
	}
}

// TestHostsThatStopTogether guards against hosts that each take the slack of all, because the others leave within the
// window in which they have used their own shares.
func TestHostsThatStopTogether(t *testing.T) {
	const hosts, slack = 12, 104
	total := 0
	for range hosts {
		b := &budgeter.Budgeter{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
		for remaining := hosts; remaining >= 0; remaining -= 3 { // A host that stops removes its own entry as well.
			now := start.Add(time.Duration(hosts-remaining) * time.Second / 2)
			b.RecordHosts(remaining, now)
			for b.AllowRepeat("pool", remaining, now) {
				total++
			}
		}
	}
	if got := total; got > slack {
		t.Errorf("repeated sends of %d hosts that stop within a window: got %d, want at most %d", hosts, got, slack)
	}
	b := &budgeter.Budgeter{Slack: slack, Window: 10 * time.Second}
	b.RecordHosts(hosts, start)
	b.RecordHosts(1, start.Add(time.Second))
	few, many := 0, 0
	for b.AllowRepeat("pool", 1, start.Add(10*time.Second)) {
		few++
	}
	for b.AllowRepeat("pool", 1, start.Add(22*time.Second)) {
		many++
	}
	if many <= few {
		t.Errorf("repeated sends of the last host: got %d within the window after the others have left and %d later, want more later", few, many)
	}
}
