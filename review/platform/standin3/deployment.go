package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// zones are those of the hosts and replicas.
var zones = []string{"bc-coast-a", "bc-coast-b", "bc-coast-c", "bc-coast-d"}

// shardCount is the number of shards of a search, each with two replicas.
const shardCount = 20

// deployment is a small deployment with 12 hosts in 4 zones, and searches over 20 shards of 2 replicas each.
type deployment struct {
	store    *store
	replicas []*replica
	hosts    []*host
	clients  []*client
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	for _, r := range d.replicas {
		r.close()
	}
	if d.store != nil {
		d.store.close()
	}
}

// configure writes a version of the configuration that names a set of shards, and returns when the store has taken it.
func (d *deployment) configure(version int, shards []string) time.Time {
	route := func(name string, timeout, aim, priority, top int, coverage float64) map[string]any {
		return map[string]any{
			"name": name, "host": authority, "path_prefix": "/" + name + "/", "route_type": "idempotent", "timeout_ms": timeout,
			"target_latency_ms": aim, "priority": priority, "fanout": shards, "max_attempts": 2, "top_k": top, "min_coverage": coverage,
		}
	}
	var services []any
	for _, shard := range shards {
		services = append(services, serviceEntry(shard, 50, 0))
	}
	return d.store.put("op/config", map[string]any{
		"version": version, "services": services, "limits": configLimits(),
		"routes": []any{route("sweep", 1200, 80, 1, 20, 0.89), route("dyelot", 600, 40, 2, 5, 0.75)},
	})
}

// startShards starts two replicas of each shard of a set, and returns the names of the shards.
func (d *deployment) startShards(set string) ([]string, error) {
	var shards []string
	for i := range 2 * shardCount {
		if i%2 == 0 {
			shards = append(shards, fmt.Sprintf("%s-%02d", set, i/2))
		}
		r := &replica{
			id: fmt.Sprintf("i-%08x", 0x7f3a0+len(d.replicas)), service: shards[i/2], zone: zones[(i/2+i%2)%len(zones)], store: d.store, slots: 2,
			work: func(path string) time.Duration {
				if strings.HasPrefix(path, "/dyelot/") {
					return 2500 * time.Microsecond
				}
				return 7500 * time.Microsecond
			},
			body: func(string) []byte { return make([]byte, 400) },
		}
		if err := r.start(); err != nil {
			return nil, err
		}
		d.replicas = append(d.replicas, r)
	}
	return shards, nil
}

// startDeployment starts the deployment and waits until all hosts serve.
func startDeployment(s *scene) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.store, err = newStore(); err != nil {
		return d, err
	}
	shards, err := d.startShards("shard")
	if err != nil {
		return d, err
	}
	d.configure(3, shards)
	for i := range 12 {
		zone := zones[i%len(zones)]
		h, err := startHost(hostSpec{name: fmt.Sprintf("frontend-%s-%d", zone, i/len(zones)+1), zone: zone, memory: machineMB, files: machineFiles}, d.store.addr, s.folder)
		if err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	for _, zone := range zones {
		for range 5 {
			d.clients = append(d.clients, newClient(zone, authority, d.hosts))
		}
	}
	if !waitFor(15*time.Second, func() bool { return d.store.count("hosts/") == len(d.hosts) }) {
		return d, fmt.Errorf("%d of %d hosts are registered", d.store.count("hosts/"), len(d.hosts))
	}
	time.Sleep(3 * time.Second)
	return d, nil
}

// traffic sends searches at the rates of the small deployment until stop is closed. Each attempt is passed to seen.
func (d *deployment) traffic(stop <-chan struct{}, seen func(outcome)) {
	var loads sync.WaitGroup
	var next sync.Mutex
	number := 0
	send := func(path string, deadline time.Duration) func() {
		return func() {
			next.Lock()
			c := d.clients[number%len(d.clients)]
			number++
			next.Unlock()
			for _, o := range c.call(path, deadline) {
				seen(o)
			}
		}
	}
	loads.Go(func() { load(67.6, stop, send("/sweep/1a", 1200*time.Millisecond)) })
	loads.Go(func() { load(22.5, stop, send("/dyelot/1a", 600*time.Millisecond)) })
	loads.Wait()
}

// busiest returns the largest number of times within a span, and the first of them.
func busiest(times []time.Time, span time.Duration) (most int, from time.Time) {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	for i := range times {
		end := sort.Search(len(times), func(j int) bool { return times[j].Sub(times[i]) >= span })
		if end-i > most {
			most, from = end-i, times[i]
		}
	}
	return most, from
}
