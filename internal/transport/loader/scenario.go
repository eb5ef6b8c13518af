package loader

import (
	"context"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// Scenario is a schedule of faults.
type Scenario struct {
	Name   string
	Title  string
	events []event
}

// event injects a fault at a fraction of the measured time.
type event struct {
	fraction float64
	inject   func(context.Context, faultInjector) error
}

// faultInjector applies faults to the system or to the baseline.
type faultInjector interface {
	apply(change simulator.TargetChange)
	applyStore(change simulator.StoreChange)
	// setDomain takes a failure domain out of service or returns it to service.
	setDomain(ctx context.Context, domain string, out bool) error
}

// faultyDomain is the failure domain to which scenarios apply faults.
const faultyDomain = "d2"

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Title: "no faults"},
		{Name: "stragglers", Title: "1 in 100 requests 20 times slower", events: []event{{0, startStragglers}}},
		{Name: "domain", Title: "a domain leaves and returns cold", events: []event{
			{0.2, takeOutOfService}, {0.5, makeCold}, {0.6, returnToService},
		}},
		{Name: "cold", Title: "a domain becomes cold without warning", events: []event{{0.3, makeCold}}},
		{Name: "crash", Title: "four targets crash one after the other", events: []event{
			{0.2, crash("00-r0")}, {0.4, crash("01-r1")}, {0.6, crash("02-r0")}, {0.8, crash("03-r1")},
		}},
		{Name: "store", Title: "the key-value service is down", events: []event{{0.2, setStoreDown(true)}, {0.8, setStoreDown(false)}}},
	}
}

func startStragglers(_ context.Context, faults faultInjector) error {
	stragglerInterval, stragglerFactor := 100, 20.0
	faults.apply(simulator.TargetChange{StragglerInterval: &stragglerInterval, StragglerFactor: &stragglerFactor})
	return nil
}

func takeOutOfService(ctx context.Context, faults faultInjector) error {
	return faults.setDomain(ctx, faultyDomain, true)
}

func returnToService(ctx context.Context, faults faultInjector) error {
	return faults.setDomain(ctx, faultyDomain, false)
}

func makeCold(_ context.Context, faults faultInjector) error {
	faults.apply(simulator.TargetChange{Domain: faultyDomain, MakeCold: true})
	return nil
}

// crash crashes the targets of the many-shard indexes whose names end with the suffix.
func crash(suffix string) func(context.Context, faultInjector) error {
	return func(_ context.Context, faults faultInjector) error {
		down := wigeonspindle.Duration(time.Second)
		faults.apply(simulator.TargetChange{
			Names: []string{"lookup-s" + suffix, "portal-s" + suffix}, Crash: &down,
		})
		return nil
	}
}

func setStoreDown(down bool) func(context.Context, faultInjector) error {
	return func(_ context.Context, faults faultInjector) error {
		faults.applyStore(simulator.StoreChange{Down: &down})
		return nil
	}
}

func (c *cluster) apply(change simulator.TargetChange)     { c.environment.Apply(change) }
func (c *cluster) applyStore(change simulator.StoreChange) { c.environment.Store.Apply(change) }
