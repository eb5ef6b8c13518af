// Command standin runs a case of the review: it starts the stand-ins and the nodes, brings about the disruption unless
// TROUBLE is 0, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // exitHeld: the rule held.
	exitBroken = 1 // exitBroken: the rule was broken.
	exitNotRun = 2 // exitNotRun: the case couldn't run.
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// bench holds what the cases share.
type bench struct {
	trouble bool // trouble reports that the disruption is brought about.
	record  *record
	journal *journal
	store   *store
	folder  string
	fleet   *fleet
	clients *clients
}

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(b *bench) (bool, error){
	"late-refusal":  lateRefusal,
	"pinned-drain":  pinnedDrain,
	"lost-register": lostRegister,
	"cold-again":    coldAgain,
	"changed-grace": changedGrace,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	broken, err := runCase(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// runCase runs a case and ends all processes that it started.
func runCase(name, path string) (bool, error) {
	events, err := newRecord(path)
	if err != nil {
		return false, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", record: events, journal: newJournal(), folder: folder}
	if b.store, err = newStore(events); err != nil {
		return false, err
	}
	defer b.store.close()
	type outcome struct {
		broken bool
		err    error
	}
	result := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](b)
		result <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var got outcome
	select {
	case got = <-result:
	case <-time.After(maxDuration):
		got.err = fmt.Errorf("the case has taken longer than %v", maxDuration)
	case <-signals:
		got.err = fmt.Errorf("interrupted")
	}
	if b.fleet != nil {
		if got.err == nil && !b.fleet.running() {
			events.printf("a node has ended by itself")
		}
		b.fleet.close()
		saveLogs(b.folder)
	}
	if err := events.close(); err != nil && got.err == nil {
		got.err = err
	}
	return got.broken, got.err
}

// saveLogs copies the logs of the nodes to the folder that REVIEW_LOGS names, if it is set.
func saveLogs(folder string) {
	target := os.Getenv("REVIEW_LOGS")
	if target == "" {
		return
	}
	if err := os.CopyFS(target, os.DirFS(folder)); err != nil {
		fmt.Fprintln(os.Stderr, "logs not copied:", err)
	}
}

// startNodes starts the nodes and prepares the clients.
func (b *bench) startNodes(count int) error {
	nodes, err := newFleet(b.store, b.folder, count)
	if err != nil {
		return err
	}
	b.fleet = nodes
	b.clients = &clients{fleet: nodes, record: b.record, journal: b.journal}
	return nodes.startAll()
}

// service is an entry of the configuration's services.
func service(name string, warmupPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 192, "protocol": "h1", "tls": false, "warmup_s": 3.0,
		"warmup_per_s": warmupPerSecond,
	}
}

// route is an entry of the configuration's routes, whose prefix is its name.
func route(name, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "review.example", "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": 4000,
		"target_latency_ms": 250, "priority": 2, "service": service, "max_attempts": 2,
	}
}

// configure writes a configuration.
func (b *bench) configure(version int, routes, services []map[string]any) {
	b.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
	})
}

// newReplica returns a replica that is not started yet.
func (b *bench) newReplica(id, service, zone string, slots, queue int, work time.Duration) *replica {
	return &replica{id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, store: b.store, record: b.record, journal: b.journal}
}
