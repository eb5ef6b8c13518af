package loader

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// baselineMaxAttempts bounds the attempts per shard; baselineRetryInterval separates them.
const (
	baselineMaxAttempts   = 6
	baselineRetryInterval = 5 * time.Millisecond
)

// baseline is the client-side implementation that the system is compared with: each host
// chooses replicas at random, sends no hedges and enforces the targets' limits on its own,
// without coordination.
type baseline struct {
	environment *simulator.Environment
	indexes     map[string]wigeonspindle.Index
	hosts       []*baselineHost
	nextHost    atomic.Uint64

	mutex        sync.Mutex
	outOfService map[string]bool // outOfService is keyed by failure domain.
}

// baselineHost is one host with its own connections and concurrency limits.
type baselineHost struct {
	client http.Client
	mutex  sync.Mutex
	random *rand.Rand
	slots  map[string]chan struct{}
}

func runBaseline(deployment Deployment, seed uint64) (*baseline, error) {
	environment, addresses, err := runEnvironment(deployment, seed)
	if err != nil {
		return nil, err
	}
	b := &baseline{environment: environment, indexes: make(map[string]wigeonspindle.Index), outOfService: make(map[string]bool)}
	for _, index := range addresses.Indexes {
		b.indexes[index.Name] = index
	}
	for i := range deployment.Hosts {
		host := &baselineHost{random: rand.New(rand.NewPCG(seed, uint64(i))), slots: make(map[string]chan struct{})}
		host.client.Transport = &http.Transport{MaxIdleConnsPerHost: slots, DisableCompression: true}
		for _, index := range addresses.Indexes {
			for _, target := range index.Targets {
				host.slots[target.Name] = make(chan struct{}, target.Slots)
			}
		}
		b.hosts = append(b.hosts, host)
	}
	return b, nil
}

// Query sends a request to all shards of its index.
func (b *baseline) Query(ctx context.Context, request encoder.QueryRequest) wigeonspindle.Answer {
	ctx, cancel := context.WithTimeout(ctx, request.Budget.Value())
	defer cancel()
	host := b.hosts[b.nextHost.Add(1)%uint64(len(b.hosts))]
	index := b.indexes[request.Index]
	snapshot := index.Snapshots[0]
	answer := wigeonspindle.Answer{
		Verdict: wigeonspindle.Ran, Snapshot: snapshot.Version, Coverage: wigeonspindle.Coverage{Total: len(snapshot.Shards)},
	}
	results := make([]*wigeonspindle.ShardResult, len(snapshot.Shards))
	var wait sync.WaitGroup
	for i, shard := range snapshot.Shards {
		wait.Go(func() { results[i] = b.queryShard(ctx, host, index, shard, request) })
	}
	wait.Wait()
	for i, shard := range snapshot.Shards {
		if results[i] == nil {
			answer.Coverage.Missing = append(answer.Coverage.Missing, shard)
			continue
		}
		answer.Coverage.Answered++
		answer.Results = append(answer.Results, *results[i])
	}
	if answer.Coverage.Answered == 0 {
		answer.Verdict = wigeonspindle.MayHaveRun
		answer.Refusal = &wigeonspindle.Refusal{Code: wigeonspindle.CodeUnavailable, Verdict: answer.Verdict}
	}
	return answer
}

// queryShard tries random replicas. A once request is retried only if it was certainly not run.
func (b *baseline) queryShard(ctx context.Context, host *baselineHost, index wigeonspindle.Index, shard string, request encoder.QueryRequest) *wigeonspindle.ShardResult {
	for range baselineMaxAttempts {
		target, ok := b.pickReplica(host, index, shard)
		if !ok {
			return nil
		}
		body, notRun := host.attempt(ctx, target, shard, index.Snapshots[0].Version, request)
		if body != nil {
			return &wigeonspindle.ShardResult{Shard: shard, Body: body}
		}
		if !notRun && request.Class == wigeonspindle.ClassOnce {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(baselineRetryInterval):
		}
	}
	return nil
}

func (b *baseline) pickReplica(host *baselineHost, index wigeonspindle.Index, shard string) (wigeonspindle.Target, bool) {
	b.mutex.Lock()
	var candidates []wigeonspindle.Target
	for _, target := range index.Targets {
		if target.Shards[0] == shard && !b.outOfService[target.Domain] {
			candidates = append(candidates, target)
		}
	}
	b.mutex.Unlock()
	if len(candidates) == 0 {
		return wigeonspindle.Target{}, false
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return candidates[host.random.IntN(len(candidates))], true
}

// attempt returns the response body of a target. Without a body, notRun reports whether the
// target certainly did not run the request.
func (h *baselineHost) attempt(ctx context.Context, target wigeonspindle.Target, shard, snapshot string, request encoder.QueryRequest) (body []byte, notRun bool) {
	select {
	case h.slots[target.Name] <- struct{}{}:
		defer func() { <-h.slots[target.Name] }()
	case <-ctx.Done():
		return nil, true
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/run", strings.NewReader(request.Body))
	if err != nil {
		return nil, true
	}
	httpRequest.Header.Set(encoder.HeaderSnapshot, snapshot)
	httpRequest.Header.Set(encoder.HeaderShard, shard)
	if deadline, ok := ctx.Deadline(); ok {
		httpRequest.Header.Set(encoder.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if request.ID != "" {
		httpRequest.Header.Set(encoder.HeaderIdentity, request.ID)
	}
	response, err := h.client.Do(httpRequest)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, response.Header.Get(encoder.HeaderRefused) != ""
	}
	return data, false
}

func (b *baseline) apply(change simulator.TargetChange)     { b.environment.Apply(change) }
func (b *baseline) applyStore(change simulator.StoreChange) { b.environment.Store.Apply(change) }

func (b *baseline) setDomain(_ context.Context, domain string, out bool) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outOfService[domain] = out
	return nil
}

func (b *baseline) close() error {
	for _, host := range b.hosts {
		host.client.CloseIdleConnections()
	}
	return b.environment.Close()
}
