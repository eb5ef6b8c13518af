// Package budgeter limits the repeated sends (retries and hedges) of a host, so that all hosts
// together stay within the bound that the operators configured. Hosts do not coordinate: each
// one computes its own limit from its calls and the number of hosts.
package budgeter

import (
	"slices"
	"time"
)

const (
	// bucketCount is the number of buckets of the sliding window.
	bucketCount = 20
	// ratioFactor is the fraction of Ratio that the hosts use. The rest leaves room for calls
	// that hosts and operators count in different windows.
	ratioFactor = 0.9
	// slackFactor is the fraction of Slack that the hosts use. The rest leaves room for hosts
	// that restart with empty counts, for hosts that see fewer hosts than there are, and for
	// hosts that start to serve within a window: each of these uses its part of the slack a
	// second time.
	slackFactor = 0.35
)

// Budgeter counts calls and repeated sends per pool.
type Budgeter struct {
	Ratio  float64       // Ratio is the maximum number of repeated sends per call.
	Slack  float64       // Slack is the number of repeated sends per window, over all hosts, allowed in addition to Ratio.
	Window time.Duration // Window is the length of the sliding window over which the limit holds.

	windows map[string]*window
	hosts   []hostCount // hosts holds the numbers of hosts within the last Window, the current one last.
}

// hostCount is a number of hosts that share Slack.
type hostCount struct {
	count int
	until time.Time // until is when the number was replaced; zero for the current one.
}

type window struct {
	calls, repeats [bucketCount]int
	current        int // current is the index of the newest bucket.
	bucketStart    time.Time
	callSum        int
	repeatSum      int
}

// RecordCall counts a call for a pool.
func (b *Budgeter) RecordCall(pool string, now time.Time) {
	w := b.windowAt(pool, now)
	w.calls[w.current]++
	w.callSum++
}

// RecordHosts records the number of hosts that share Slack. A lower one takes effect after Window: the hosts that leave
// have used their shares within it, and go on to serve the calls that reach them until they stop.
func (b *Budgeter) RecordHosts(count int, now time.Time) {
	if last := len(b.hosts) - 1; last >= 0 {
		if b.hosts[last].count == count {
			return
		}
		b.hosts[last].until = now
	}
	b.hosts = append(b.hosts, hostCount{count: count})
	b.hosts = slices.DeleteFunc(b.hosts, func(h hostCount) bool { return !b.inWindow(h, now) })
}

func (b *Budgeter) inWindow(h hostCount, now time.Time) bool {
	return h.until.IsZero() || now.Sub(h.until) < b.Window
}

// shares returns the number of equal shares into which Slack is divided.
func (b *Budgeter) shares(hosts int, now time.Time) int {
	shares := max(hosts, 1)
	for _, h := range b.hosts {
		if b.inWindow(h, now) {
			shares = max(shares, h.count)
		}
	}
	return shares
}

// AllowRepeat reports whether the host may repeat a send to a pool and, if so, counts it. The
// parameter hosts is the number of equal shares into which Slack is divided, unless RecordHosts tells of more.
func (b *Budgeter) AllowRepeat(pool string, hosts int, now time.Time) bool {
	w := b.windowAt(pool, now)
	if b.limit(w, b.shares(hosts, now))-float64(w.repeatSum) < 1 {
		return false
	}
	w.repeats[w.current]++
	w.repeatSum++
	return true
}

// Utilization returns the used fraction of the budget of a pool, from 0 to 1.
func (b *Budgeter) Utilization(pool string, hosts int, now time.Time) float64 {
	w := b.windowAt(pool, now)
	return min(float64(w.repeatSum)/max(b.limit(w, b.shares(hosts, now)), 1), 1)
}

func (b *Budgeter) limit(w *window, shares int) float64 {
	return b.Ratio*ratioFactor*float64(w.callSum) + b.Slack*slackFactor/float64(shares)
}

// windowAt returns the window of a pool, advanced to now.
func (b *Budgeter) windowAt(pool string, now time.Time) *window {
	if b.windows == nil {
		b.windows = make(map[string]*window)
	}
	w, ok := b.windows[pool]
	if !ok {
		w = &window{bucketStart: now}
		b.windows[pool] = w
	}
	step := b.Window / bucketCount
	if now.Sub(w.bucketStart) > 2*b.Window {
		*w = window{bucketStart: now}
	}
	for now.Sub(w.bucketStart) >= step {
		w.bucketStart = w.bucketStart.Add(step)
		w.current = (w.current + 1) % bucketCount
		w.callSum -= w.calls[w.current]
		w.repeatSum -= w.repeats[w.current]
		w.calls[w.current], w.repeats[w.current] = 0, 0
	}
	return w
}

// Prune removes the counts of pools that are no longer in use.
func (b *Budgeter) Prune(inUse func(pool string) bool) {
	for pool := range b.windows {
		if !inUse(pool) {
			delete(b.windows, pool)
		}
	}
}
