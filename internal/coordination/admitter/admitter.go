// Package admitter implements admission control: it refuses queries that cannot complete
// before their deadline or that would overload the host. Methods take the current time as an
// argument, so that traces replay deterministically.
package admitter

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Admitter bounds the concurrent work of one query loop. Work is counted in shards, because
// the memory and the load of a query grow with its number of shards.
type Admitter struct {
	// MaxShards bounds the total number of shards of the running queries. Above half of it, a
	// caller that exceeds its fair share is refused.
	MaxShards int
	// MinSamples is the number of samples below which a latency estimate is ignored.
	MinSamples int

	runningShards  int
	shardsByCaller map[string]int // shardsByCaller has entries only for callers with running queries.
}

// Admit reserves capacity for a query over the given number of shards and returns nil, or
// returns a refusal with verdict NotRun.
func (a *Admitter) Admit(query wigeonspindle.Query, shards int, estimate wigeonspindle.LatencyEstimate, now time.Time) *wigeonspindle.Refusal {
	remaining := query.Deadline.Sub(now)
	switch {
	case remaining <= 0:
		return refuse(wigeonspindle.CodeExpired, "the deadline has passed")
	case estimate.Count >= a.MinSamples && estimate.P50 > remaining:
		return refuse(wigeonspindle.CodeExpired, "half of the attempts take longer than the time left")
	case a.runningShards > 0 && a.runningShards+shards > a.MaxShards:
		return refuse(wigeonspindle.CodeOverloaded, "the host is saturated")
	case a.exceedsFairShare(query.Caller, shards):
		return refuse(wigeonspindle.CodeOverloaded, "the host is busy and the caller exceeds its fair share")
	}
	if a.shardsByCaller == nil {
		a.shardsByCaller = make(map[string]int)
	}
	a.runningShards += shards
	a.shardsByCaller[query.Caller] += shards
	return nil
}

// Release frees the capacity of a query that Admit accepted.
func (a *Admitter) Release(caller string, shards int) {
	a.runningShards -= shards
	if a.shardsByCaller[caller] -= shards; a.shardsByCaller[caller] <= 0 {
		delete(a.shardsByCaller, caller)
	}
}

// CallerCount returns the number of callers with running queries.
func (a *Admitter) CallerCount() int { return len(a.shardsByCaller) }

// exceedsFairShare reports whether more than half of MaxShards would be in use and the caller
// would exceed an equal share of it. A caller without running queries never does.
func (a *Admitter) exceedsFairShare(caller string, shards int) bool {
	if a.runningShards+shards <= a.MaxShards/2 {
		return false
	}
	callers := len(a.shardsByCaller)
	used, known := a.shardsByCaller[caller]
	if !known {
		callers++
	}
	return used > 0 && used+shards > a.MaxShards/callers
}

func refuse(code wigeonspindle.Code, message string) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{Code: code, Verdict: wigeonspindle.NotRun, Message: message}
}
