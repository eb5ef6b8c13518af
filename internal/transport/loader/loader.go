// Package loader is the load generator: it runs fault scenarios against the query tier and a
// client-side baseline, both with simulated targets of the same seed, and reports latency,
// coverage and the load on targets.
package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of one run.
const (
	maxDuration = 2 * time.Minute
	maxRequests = 100000
	// settleTime is the wait for cancelled runs to end before the target counters are read.
	settleTime = 300 * time.Millisecond
)

// Loader runs scenarios on a deployment.
type Loader struct {
	Deployment Deployment
	Seed       uint64        // Seed makes the arrivals and the simulated systems reproducible.
	Warmup     time.Duration // Warmup is the time under load before the measurement starts.
	Duration   time.Duration // Duration is the length of each measurement.
	// Baseline also runs each scenario on the baseline.
	Baseline bool
}

// Run runs a scenario and returns the measurements.
func (l *Loader) Run(ctx context.Context, scenario Scenario) (Result, error) {
	if err := l.validate(); err != nil {
		return Result{}, err
	}
	result := Result{Deployment: l.Deployment.Name, Scenario: scenario.Name, Seed: l.Seed}
	system, err := runCluster(ctx, l.Deployment, l.Seed)
	if err != nil {
		return result, errors.Wrapf(err, "start the system for scenario %s", scenario.Name)
	}
	result.System, err = l.measure(ctx, scenario, system, func(i int) querier { return system.callers[i%len(system.callers)] }, system.environment)
	if err = errors.CombineErrors(err, system.close()); err != nil || !l.Baseline {
		return result, err
	}
	base, err := runBaseline(l.Deployment, l.Seed)
	if err != nil {
		return result, errors.Wrap(err, "start the baseline")
	}
	measured, err := l.measure(ctx, scenario, base, func(int) querier { return base }, base.environment)
	result.Baseline = &measured
	result.Ratios = compare(result.System, measured)
	return result, errors.CombineErrors(err, base.close())
}

func (l *Loader) validate() error {
	var rate float64
	for _, traffic := range l.Deployment.Traffic {
		rate += traffic.Rate
	}
	total := l.Warmup + l.Duration
	switch {
	case l.Duration <= 0 || total > maxDuration:
		return errors.Newf("the duration must be more than 0s and with the warm-up at most %s", maxDuration)
	case rate*total.Seconds() > maxRequests:
		return errors.Newf("a run is limited to %d requests", maxRequests)
	}
	return nil
}
