package commander

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle/internal/transport/loader"
)

// loadCommand runs load scenarios against the system and the baseline and prints the
// measurements.
type loadCommand struct {
	Deployment string        `long:"deployment" default:"cooperative" choice:"cooperative" choice:"hinterberger" description:"installation to reproduce"`
	Scenarios  []string      `long:"scenario" description:"scenario to play; all when absent; may be repeated"`
	Hosts      int           `long:"hosts" default:"12" description:"number of hosts"`
	Duration   time.Duration `long:"duration" default:"10s" description:"measured time of each run"`
	Warmup     time.Duration `long:"warmup" default:"15s" description:"time under load before each measurement"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the arrivals and of the stand-ins"`
	Alone      bool          `long:"alone" description:"leave out the baseline"`
	NoCanary   bool          `long:"no-canary" description:"send new requests to all shards at once; every request of a run is new"`
	JSON       string        `long:"json" description:"file for the measurements in JSON"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	scenarios, err := c.selectScenarios()
	if err != nil {
		return err
	}
	l := &loader.Loader{
		Deployment: loader.Deployments()[c.Deployment], Seed: c.Seed,
		Warmup: c.Warmup, Duration: c.Duration, Baseline: !c.Alone,
	}
	l.Deployment.Hosts = c.Hosts
	l.Deployment.Rules.Canary = !c.NoCanary
	var results []loader.Result
	for _, scenario := range scenarios {
		result, err := l.Run(context.Background(), scenario)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if c.JSON != "" {
		data, err := json.MarshalIndent(results, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		if err := os.WriteFile(c.JSON, append(data, '\n'), 0o600); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	return loader.WriteTable(c.commander.Out, results, l.Deployment.Traffic[0].Index)
}

// selectScenarios returns the scenarios to run in the order of loader.Scenarios.
func (c *loadCommand) selectScenarios() ([]loader.Scenario, error) {
	var scenarios []loader.Scenario
	for _, scenario := range loader.Scenarios() {
		if len(c.Scenarios) == 0 || slices.Contains(c.Scenarios, scenario.Name) {
			scenarios = append(scenarios, scenario)
		}
	}
	if len(scenarios) < len(c.Scenarios) || c.Hosts < 1 {
		return nil, errors.New("--scenario is unknown or repeated, or --hosts is less than 1")
	}
	return scenarios, nil
}
