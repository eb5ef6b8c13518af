package loader

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Durations of the demonstration, which must finish within 30 s on a fresh machine.
const (
	demonstrationWarmup   = 3 * time.Second
	demonstrationDuration = 6 * time.Second
)

// Demonstrate runs four hosts and a many-shard index with stragglers in this process and
// writes a table of latency, coverage and extra load.
func Demonstrate(ctx context.Context, out io.Writer, seed uint64) error {
	l := &Loader{
		Deployment: demonstration(), Seed: seed, Warmup: demonstrationWarmup, Duration: demonstrationDuration,
	}
	_, err := fmt.Fprintf(out, "%d hosts, %d shards with %d replicas over %d failure domains, 1 in 100 requests 20 times slower, seed %d\n",
		l.Deployment.Hosts, shards, replicas, len(l.Deployment.Domains), seed)
	if err != nil {
		return err
	}
	result, err := l.Run(ctx, Scenarios()[1])
	if err != nil {
		return err
	}
	return WriteTable(out, []Result{result}, l.Deployment.Traffic[0].Index)
}
