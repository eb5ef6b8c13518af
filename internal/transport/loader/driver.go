package loader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// maxInFlight bounds the requests in flight. A request over the limit waits, but its latency
// is still measured from its intended start.
const maxInFlight = 4096

// querier sends a request: a caller's client or the baseline.
type querier interface {
	Query(ctx context.Context, request encoder.QueryRequest) wigeonspindle.Answer
}

// queryResult is the answer to one request with its latency from the intended start.
type queryResult struct {
	index   string
	body    string
	latency time.Duration
	answer  wigeonspindle.Answer
}

// measure runs the scenario under load and returns the measurements.
func (l *Loader) measure(ctx context.Context, scenario Scenario, faults faultInjector, clientFor func(int) querier, environment *simulator.Environment) (Measurement, error) {
	warmupMeter := newMeter(environment)
	l.sendRequests(ctx, arrivals(l.Deployment.Traffic, l.Warmup, l.Seed+1), "warm", clientFor, warmupMeter)
	time.Sleep(settleTime)
	meter := newMeter(environment)
	ctx, cancel := context.WithTimeout(ctx, l.Duration+maxDuration)
	defer cancel()
	eventsDone := make(chan error, 1)
	go func() { eventsDone <- l.runEvents(ctx, scenario, faults) }()
	l.sendRequests(ctx, arrivals(l.Deployment.Traffic, l.Duration, l.Seed), "load", clientFor, meter)
	err := <-eventsDone
	time.Sleep(settleTime)
	return meter.finish(warmupMeter), err
}

// runEvents injects the faults of the scenario at their scheduled times.
func (l *Loader) runEvents(ctx context.Context, scenario Scenario, faults faultInjector) error {
	started := time.Now()
	for _, event := range scenario.events {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(started.Add(time.Duration(event.fraction * float64(l.Duration))))):
		}
		if err := event.inject(ctx, faults); err != nil {
			return errors.Wrapf(err, "scenario %s", scenario.Name)
		}
	}
	return nil
}

// sendRequests starts each request at its intended time and waits for all answers.
func (l *Loader) sendRequests(ctx context.Context, requests []arrival, phase string, clientFor func(int) querier, meter *meter) {
	results := queuer.New[queryResult](maxInFlight)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for range requests {
			meter.add(<-results.C())
		}
	}()
	inFlight := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	started := time.Now()
	for i, request := range requests {
		intendedStart := started.Add(request.at)
		time.Sleep(time.Until(intendedStart))
		inFlight <- struct{}{}
		running.Go(func() {
			defer func() { <-inFlight }()
			// The body is unique, so that completed shards are recorded for each request.
			body := fmt.Sprintf("%s-%d", phase, i)
			answer := clientFor(i).Query(ctx, encoder.QueryRequest{
				Index: request.index, Body: body, Class: request.class, Budget: wigeonspindle.Duration(l.Deployment.Budget),
			})
			results.Put(queryResult{index: request.index, body: body, latency: time.Since(intendedStart), answer: answer}, nil)
		})
	}
	running.Wait()
	<-collected
}
