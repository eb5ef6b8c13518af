package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
	"wigeonspindle.example/wigeonspindle/platform/standin"
)

const (
	// readyTimeout is how long the hosts may take to be ready.
	readyTimeout = 15 * time.Second
	// heartbeat is the interval of the replicas' entries; an entry is removed after three silent ones.
	heartbeat = 1200 * time.Millisecond
	// firstLoopbackIP is the number of the first host's loopback address.
	firstLoopbackIP = 10
)

// world is one run: a store, replicas and hosts.
type world struct {
	binary string
	dir    string // dir is a temporary folder.
	store  *standin.Store
	hosts  []*host
	start  time.Time

	mutex    sync.Mutex // mutex guards the fields below.
	replicas map[string][]*replica
	started  int // started counts the replicas that were started.
	record   *os.File
}

// newWorld starts the store and creates the record.
func newWorld(binary, recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, dir: dir, store: standin.NewStore(), start: time.Now(), replicas: make(map[string][]*replica), record: record}
	w.store.SetEra(1)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	w.mutex.Lock()
	for _, replicas := range w.replicas {
		for _, r := range replicas {
			r.end()
		}
	}
	w.mutex.Unlock()
	w.store.Close()
	_ = w.record.Close()    // Each line was written when it was noted.
	_ = os.RemoveAll(w.dir) // The folder is temporary.
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%7.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// startReplica starts a replica and enters it in the store.
func (w *world) startReplica(service, zone, address string) *replica {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.started++
	r := newReplica(fmt.Sprintf("i-%s-%d", service, w.started), service, zone, address)
	r.crash = func() { w.crash(r) }
	w.replicas[service] = append(w.replicas[service], r)
	w.store.Put("servers/"+r.id, r.entry())
	return r
}

// crash ends a replica. Its entry lapses after three heartbeats, and a new incarnation takes its place after a time.
func (w *world) crash(r *replica) {
	w.note("%s crashes", r.id)
	r.end()
	time.AfterFunc(3*heartbeat, func() { w.store.Remove("servers/" + r.id) })
	time.AfterFunc(replicaDown, func() { w.note("%s takes the place of %s", w.startReplica(r.service, r.zone, r.address).id, r.id) })
}

// current returns the replicas of a service that have not ended.
func (w *world) current(service string) []*replica {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var live []*replica
	for _, r := range w.replicas[service] {
		if !r.ended.Load() {
			live = append(live, r)
		}
	}
	return live
}

// runs returns how many runs of a request all replicas have begun.
func (w *world) runs(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, replicas := range w.replicas {
		for _, r := range replicas {
			count += r.runsOf(id)
		}
	}
	return count
}

// host is a process of the project.
type host struct {
	binary, name, caller, ready, settings string

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	output  bytes.Buffer
}

// addHost writes the settings of a host and starts it.
func (w *world) addHost(index int, zone string) error {
	address := func(port int) string {
		return fmt.Sprintf("%s:%d", simulator.LoopbackIP(firstLoopbackIP+index), 7000+port)
	}
	h := &host{
		binary: w.binary, name: fmt.Sprintf("host-%d", index), caller: address(1), ready: address(3),
		settings: filepath.Join(w.dir, fmt.Sprintf("host-%d.json", index)),
	}
	settings, err := json.Marshal(map[string]any{
		"name": h.name, "domain": zone, "caller": h.caller, "directory": address(2), "ready": h.ready, "metrics": address(4),
		"link": address(5), "store": w.store.Address(), "grace": "6s", "drain": "3000ms", "ratio": 0.2, "slack": 104,
		"window": "10s", "share": 0.272, "cores": 1, "memory": 206, "files": 2870,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return h.run()
}

// run starts the process of a host.
func (h *host) run() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	command := exec.Command(h.binary, "run", "--settings", h.settings)
	command.Stdout, command.Stderr = &h.output, &h.output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		defer close(exited)
		_ = command.Wait() // An error because of a signal is expected.
	}()
	return nil
}

// signal sends a signal to the process of a host.
func (h *host) signal(signal syscall.Signal) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.command == nil {
		return nil
	}
	if err := h.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// kill ends the process of a host and waits for it.
func (h *host) kill() {
	if h.command == nil || h.signal(syscall.SIGKILL) != nil {
		return
	}
	<-h.exited
}

// waitReady waits until all hosts answer the platform's question for their readiness with 200.
func (w *world) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for _, h := range w.hosts {
		for deadline := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
			response, err := client.Get("http://" + h.ready + "/v1/ready")
			if err == nil {
				_ = response.Body.Close() // Only the status counts.
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %w", h.name, err)
			}
		}
	}
	return nil
}
