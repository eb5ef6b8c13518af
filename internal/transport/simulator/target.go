// Package simulator holds small stand-ins for the outside systems: targets, the key-value
// service and the list of hosts.
package simulator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Target is a stand-in for one target. It serves the targets' protocol.
type Target struct {
	Name      string
	Slots     int
	Snapshots []string
	Service   time.Duration // Service is the time that a request takes.
	Start     string

	mutex   sync.Mutex
	running int
	stats   TargetStats
}

// TargetStats counts what a target did.
type TargetStats struct {
	Ran    int `json:"ran"`
	Shed   int `json:"shed"`
	Peak   int `json:"peak"` // Peak is the largest number of requests at a time.
	Excess int `json:"excess"`
}

// ServeHTTP serves POST /run and GET /load.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/run":
		t.run(w, r)
	case "/load":
		t.load(w)
	default:
		http.NotFound(w, r)
	}
}

// Stats returns the counts so far.
func (t *Target) Stats() TargetStats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stats
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(encoder.HeaderStart, t.Start)
	snapshot := r.Header.Get(encoder.HeaderSnapshot)
	if !slices.Contains(t.Snapshots, snapshot) {
		refuse(w, encoder.RefusedSnapshot)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mutex.Lock()
	if t.running >= t.Slots {
		t.stats.Shed++
		t.stats.Excess++
		t.mutex.Unlock()
		refuse(w, encoder.RefusedShed)
		return
	}
	t.running++
	t.stats.Peak = max(t.stats.Peak, t.running)
	t.mutex.Unlock()
	select {
	case <-r.Context().Done():
	case <-time.After(t.Service):
	}
	t.mutex.Lock()
	t.running--
	t.stats.Ran++
	t.mutex.Unlock()
	w.Header().Set(encoder.HeaderSnapshot, snapshot)
	_, _ = w.Write([]byte(r.Header.Get(encoder.HeaderShard) + ":" + string(body)))
}

func (t *Target) load(w http.ResponseWriter) {
	t.mutex.Lock()
	report := wigeonspindle.Report{Running: t.running, Start: t.Start, Snapshots: t.Snapshots}
	t.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(encoder.HeaderRefused, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}
