// Package loader is the load and experiment tool: it plays scenarios of faults against the
// query tier and a client-side baseline, both with stand-ins of the same seed, and reports
// latency, coverage and the load on targets.
package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of one run.
const (
	maxDuration = 2 * time.Minute
	maxRequests = 100000
	// settle is the wait for cancelled runs to end before the stand-ins are read.
	settle = 300 * time.Millisecond
)

// Loader plays scenarios on a deployment.
type Loader struct {
	Deployment Deployment
	Seed       uint64        // Seed fixes the arrivals and the stand-ins.
	Warmup     time.Duration // Warmup is the time under load before the measurement.
	Duration   time.Duration // Duration is the measured time of each run.
	// Baseline plays each scenario on the baseline too.
	Baseline bool
}

// Run plays a scenario and returns what was measured.
func (l *Loader) Run(ctx context.Context, scenario Scenario) (Result, error) {
	if err := l.check(); err != nil {
		return Result{}, err
	}
	result := Result{Deployment: l.Deployment.Name, Scenario: scenario.Name, Seed: l.Seed}
	system, err := runCluster(ctx, l.Deployment, l.Seed)
	if err != nil {
		return result, errors.Wrapf(err, "start the system for scenario %s", scenario.Name)
	}
	result.System, err = l.measure(ctx, scenario, system, func(i int) asker { return system.callers[i%len(system.callers)] }, system.bundle)
	if err = errors.CombineErrors(err, system.close()); err != nil || !l.Baseline {
		return result, err
	}
	base, err := runBaseline(l.Deployment, l.Seed)
	if err != nil {
		return result, errors.Wrap(err, "start the baseline")
	}
	measured, err := l.measure(ctx, scenario, base, func(int) asker { return base }, base.bundle)
	result.Baseline = &measured
	result.Ratios = compare(result.System, measured)
	return result, errors.CombineErrors(err, base.close())
}

func (l *Loader) check() error {
	var rate float64
	for _, traffic := range l.Deployment.Traffic {
		rate += traffic.Rate
	}
	total := l.Warmup + l.Duration
	switch {
	case l.Duration <= 0 || total > maxDuration:
		return errors.Newf("the duration and the warm-up must take more than 0s and at most %s", maxDuration)
	case rate*total.Seconds() > maxRequests:
		return errors.Newf("a run is limited to %d requests", maxRequests)
	}
	return nil
}
