// Package hedger holds what hedged attempts depend on: the hedging policy of an index, a
// streaming estimate of its latency, and the budgets that bound the extra load.
package hedger

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// NoHedge is the hedge delay without a usable estimate. It exceeds every deadline, so that no
// hedge is sent.
const NoHedge = 24 * time.Hour

// MinSamples is the least number of samples for which quantiles are used. The p95 of fewer
// than 20 samples is merely their maximum.
const MinSamples = 20

// NewPolicy returns the policy for the preference of an index.
func NewPolicy(prefer wigeonspindle.Preference, rules wigeonspindle.Rules) wigeonspindle.Policy {
	if prefer == wigeonspindle.PreferTailLatency {
		return TailLatencyPolicy{SoftDeadlineRatio: rules.Soft}
	}
	return CoveragePolicy{}
}

// CoveragePolicy prefers coverage: it waits for every shard until the deadline and hedges late.
type CoveragePolicy struct{}

// HedgeDelay returns the p99, but at most twice the p95. With 1 straggler in 100 attempts
// the p99 may itself be the latency of a straggler, and a hedge sent then comes too late.
func (CoveragePolicy) HedgeDelay(estimate wigeonspindle.LatencyEstimate) time.Duration {
	return hedgeDelay(estimate, min(estimate.P99, 2*estimate.P95))
}

// SoftDeadline returns the deadline itself, so that no shard is given up earlier.
func (CoveragePolicy) SoftDeadline(_, deadline time.Time) time.Time { return deadline }

// ShouldRestart reports whether at least half of the time budget is left.
func (CoveragePolicy) ShouldRestart(remaining, budget time.Duration) bool {
	return shouldRestart(remaining, budget)
}

// TailLatencyPolicy prefers a low tail latency: it stops waiting at a soft deadline and hedges
// early.
type TailLatencyPolicy struct {
	// SoftDeadlineRatio is the fraction of the time budget after which a query that has some
	// answers ends.
	SoftDeadlineRatio float64
}

// HedgeDelay returns the p95.
func (TailLatencyPolicy) HedgeDelay(estimate wigeonspindle.LatencyEstimate) time.Duration {
	return hedgeDelay(estimate, estimate.P95)
}

// SoftDeadline returns the time at which SoftDeadlineRatio of the budget is used up.
func (p TailLatencyPolicy) SoftDeadline(arrived, deadline time.Time) time.Time {
	if p.SoftDeadlineRatio <= 0 || p.SoftDeadlineRatio >= 1 {
		return deadline
	}
	return arrived.Add(time.Duration(p.SoftDeadlineRatio * float64(deadline.Sub(arrived))))
}

// ShouldRestart reports whether at least half of the time budget is left.
func (TailLatencyPolicy) ShouldRestart(remaining, budget time.Duration) bool {
	return shouldRestart(remaining, budget)
}

func hedgeDelay(estimate wigeonspindle.LatencyEstimate, quantile time.Duration) time.Duration {
	if estimate.Count < MinSamples {
		return NoHedge
	}
	return max(quantile, time.Millisecond)
}

func shouldRestart(remaining, budget time.Duration) bool { return 2*remaining >= budget }
