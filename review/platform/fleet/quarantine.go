package main

import (
	"fmt"
	"strconv"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// Times of the cases, and the bounds of the rule RECOVER.
const (
	poisonRate   = 40 // poisonRate and blipRate are the requests a second of all callers.
	blipRate     = 60
	blips        = 5
	blipInterval = 4 * time.Second      // blipInterval is the time between the starts of two blips.
	blipSpread   = 5 * time.Millisecond // blipSpread is the time between the ends of the two replicas of a shard.
	attempts     = 3
	attemptPause = 6 * time.Second // attemptPause is the time between two crashing requests.
	replicaDown  = 4500 * time.Millisecond
	disruptionAt = 12 * time.Second // disruptionAt is counted from the start of traffic.
	// settle is how long after the disruption the hosts are killed, when all replicas have been back for some seconds.
	settle      = 8 * time.Second
	killDown    = 1200 * time.Millisecond
	recovery    = 12 * time.Second
	measured    = 15 * time.Second
	servedShare = 0.25
)

// poison has three callers, one after the other, send a search that crashes each replica that begins to run it.
func poison(w *world, trouble bool) (bool, error) {
	return recoverAfter(w, poisonRate, func(c *callers) {
		for i := range attempts {
			if trouble {
				c.sendCrashing(i)
			}
			time.Sleep(attemptPause)
		}
	})
}

// blip crashes both replicas of one shard, each time of another shard. The requests harm no replica.
func blip(w *world, trouble bool) (bool, error) {
	return recoverAfter(w, blipRate, func(*callers) {
		for i := range blips {
			start := time.Now()
			if trouble {
				for _, r := range w.current(shardName(1 + i)) {
					w.crash(r)
					time.Sleep(blipSpread)
				}
			}
			time.Sleep(time.Until(start.Add(blipInterval)))
		}
	})
}

func shardName(index int) string { return fmt.Sprintf("shard-%d", index) }

// recoverAfter sends searches and order look-ups to all hosts at a rate, brings about a disruption, and later kills all hosts, as at
// the end of a day. It reports whether RECOVER was broken.
func recoverAfter(w *world, rate int, disrupt func(c *callers)) (bool, error) {
	const hosts, shardCount = 6, 8
	zones := []string{"zone-a", "zone-b"}
	var shards []string
	services := []map[string]any{{"name": "orders", "max_connections": 192}}
	for i := range shardCount {
		shards = append(shards, shardName(i))
		services = append(services, map[string]any{"name": shards[i], "max_connections": 50})
	}
	for _, service := range append([]string{"orders"}, shards...) {
		for _, zone := range zones {
			w.startReplica(service, zone, simulator.ReservedAddress())
		}
	}
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "host": authority, "path_prefix": "/" + name + "/", "route_type": "idempotent", "timeout_ms": 1200,
			"target_latency_ms": 200, "priority": 1, "max_attempts": 2,
		}
	}
	search, order := route("search"), route("order")
	search["fanout"], search["top_k"], search["min_coverage"] = shards, 20, 0.75
	order["service"] = "orders"
	w.store.Put("op/config", map[string]any{
		"version": 1, "routes": []any{search, order}, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range hosts {
		if err := w.addHost(i, zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // The hosts learn of one another.

	c := &callers{world: w, rate: rate, path: func(number int) string {
		if number%8 == 0 {
			return fmt.Sprintf("/order/%d", number)
		}
		return searchPath(strconv.Itoa(number))
	}}
	traffic := time.Now()
	c.run()
	time.Sleep(time.Until(traffic.Add(disruptionAt)))
	disrupt(c)
	time.Sleep(settle)
	killed := time.Now()
	for _, h := range w.hosts {
		h.kill()
	}
	w.note("all hosts are killed")
	time.Sleep(killDown)
	for _, h := range w.hosts {
		if err := h.run(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.note("all hosts are started again")
	time.Sleep(recovery + measured)
	end := time.Now()
	c.close()

	sentBefore, servedBefore := c.served(traffic, killed)
	sentAfter, servedAfter := c.served(back.Add(recovery), end)
	verdict := fmt.Sprintf("RECOVER: served %d of %d requests before the final fault, %d of %d sent later than %v after it",
		servedBefore, sentBefore, servedAfter, sentAfter, recovery)
	w.note("%s", verdict)
	fmt.Println(verdict)
	if sentBefore == 0 || sentAfter == 0 {
		return false, fmt.Errorf("no requests were sent")
	}
	return float64(servedAfter) < servedShare*float64(sentAfter) && float64(servedBefore) >= servedShare*float64(sentBefore), nil
}
