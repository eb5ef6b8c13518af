// Package simulator simulates the external systems: targets, the key-value service and the
// list of hosts. The simulated services count every request that reaches them, and their
// faults can be changed while they run. The package also has fakes for tests and a TCP proxy
// that injects faults.
package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// maxBodyBytes bounds the request body that a target reads.
const maxBodyBytes = 4 << 20

// Target simulates one target. It implements the HTTP protocol of targets.
type Target struct {
	Name        string
	Slots       int
	Snapshots   []string
	ServiceTime time.Duration // ServiceTime is the time to serve a request, before jitter.
	// Jitter is the fraction by which the service time varies in both directions.
	Jitter  float64
	StartID string
	Seed    uint64 // Seed makes jitter, stragglers and shed requests reproducible.
	// Floor is the request rate per second that the target sustains when cold.
	Floor float64
	// StartCold starts the target cold. It requires a Floor.
	StartCold bool
	// CrashText crashes the target when a request body contains it.
	CrashText string
	// Downtime is how long the listener is closed after a crash.
	Downtime time.Duration
	// Listener accepts the connections. Without it, an excess over the cold limit or a crash
	// aborts one request only.
	Listener    *Listener
	Completions *CompletionLog // Completions records the completed runs of all targets; it may be nil.

	mutex       sync.Mutex
	random      *rand.Rand
	coldLimiter coldLimiter
	fault       Fault
	restarts    int
	running     int
	stats       TargetStats
	lastReport  cachedReport
}

// TargetStats holds the counters of a target.
type TargetStats struct {
	Started     int `json:"ran"` // Started counts requests that began to run.
	Completed   int `json:"completed"`
	Cancelled   int `json:"cancelled"` // Cancelled counts runs whose caller closed the connection.
	Expired     int `json:"expired"`   // Expired counts runs stopped at their deadline.
	Shed        int `json:"shed"`
	PeakRunning int `json:"peak"`   // PeakRunning is the largest number of concurrent requests.
	OverSlots   int `json:"excess"` // OverSlots counts requests shed because no slot was free.
	// OverColdLimit counts requests over the rate that the cold target sustains.
	OverColdLimit      int            `json:"coldexcess"`
	Crashes            int            `json:"crashes"`
	RefusedConnections int            `json:"refused"` // RefusedConnections counts connections refused over the limit.
	CompletedByShard   map[string]int `json:"shards,omitempty"`
	RunsByIdentity     map[string]int `json:"identities,omitempty"` // RunsByIdentity counts runs of each once request.
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

// Stats returns a copy of the counters.
func (t *Target) Stats() TargetStats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stats := t.stats
	stats.CompletedByShard, stats.RunsByIdentity = cloneCounts(stats.CompletedByShard), cloneCounts(stats.RunsByIdentity)
	if t.Listener != nil {
		stats.RefusedConnections = t.Listener.RefusedConnections()
	}
	return stats
}

// request holds the fields of a request that decide whether it runs.
type request struct {
	snapshot, shard, identity, body string
	timeout                         time.Duration // timeout is 0 if the request has no deadline.
	expires                         time.Time
}

// decision is the result of admission: the request is refused, dropped with its connection, or
// run for serviceTime.
type decision struct {
	refused     string
	dropped     bool
	serviceTime time.Duration
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	req, err := readRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	startID, admission := t.admit(req, time.Now())
	w.Header().Set(encoder.HeaderTargetStart, startID)
	switch {
	case admission.dropped:
		panic(http.ErrAbortHandler)
	case admission.refused != "":
		w.Header().Set(encoder.HeaderRefused, admission.refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !t.execute(r, req, admission.serviceTime) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(encoder.HeaderSnapshot, req.snapshot)
	_, _ = io.WriteString(w, req.shard+":"+req.body)
}

func readRequest(r *http.Request) (request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return request{}, err
	}
	req := request{
		snapshot: r.Header.Get(encoder.HeaderSnapshot), shard: r.Header.Get(encoder.HeaderShard),
		identity: r.Header.Get(encoder.HeaderIdentity), body: string(body),
	}
	if text := r.Header.Get(encoder.HeaderTimeout); text != "" {
		milliseconds, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return request{}, fmt.Errorf("%s: %w", encoder.HeaderTimeout, err)
		}
		req.timeout = time.Duration(milliseconds * float64(time.Millisecond))
	}
	if text := r.Header.Get(encoder.HeaderExpires); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return request{}, fmt.Errorf("%s: %w", encoder.HeaderExpires, err)
		}
		req.expires = time.UnixMilli(milliseconds)
	}
	return req, nil
}

// admit decides whether a request runs and, if it does, takes a slot.
func (t *Target) admit(req request, now time.Time) (string, decision) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.initialize()
	startID := t.startID()
	switch {
	case !slices.Contains(t.Snapshots, req.snapshot):
		return startID, decision{refused: encoder.RefusedSnapshot}
	case t.fault.Draining:
		return startID, decision{refused: encoder.RefusedDraining}
	case !req.expires.IsZero() && !now.Before(req.expires):
		return startID, decision{refused: encoder.RefusedExpired}
	case t.fault.ShedRatio > 0 && t.random.Float64() < t.fault.ShedRatio:
		t.stats.Shed++
		return startID, decision{refused: encoder.RefusedShed}
	case t.running >= t.Slots:
		t.stats.Shed++
		t.stats.OverSlots++
		return startID, decision{refused: encoder.RefusedShed}
	case !t.coldLimiter.allow(now):
		t.stats.OverColdLimit++
		t.coldLimiter.makeCold(t.Floor)
		if t.Listener != nil {
			t.Listener.Reset()
		}
		return startID, decision{dropped: true}
	}
	t.stats.Started++
	if req.identity != "" {
		t.stats.RunsByIdentity = increment(t.stats.RunsByIdentity, req.identity)
	}
	if t.CrashText != "" && strings.Contains(req.body, t.CrashText) {
		t.crash()
		return startID, decision{dropped: true}
	}
	t.running++
	t.stats.PeakRunning = max(t.stats.PeakRunning, t.running)
	return startID, decision{serviceTime: t.sampleServiceTime()}
}

// initialize sets up the state that depends on exported fields.
func (t *Target) initialize() {
	if t.random != nil {
		return
	}
	t.random = rand.New(rand.NewPCG(t.Seed, hashString(t.Name)))
	if t.StartCold {
		t.coldLimiter.makeCold(t.Floor)
	}
}

// startID returns the ID of the current run of the simulated process.
func (t *Target) startID() string {
	if t.restarts == 0 {
		return t.StartID
	}
	return fmt.Sprintf("%s.%d", t.StartID, t.restarts)
}

// crash resets every connection, closes the listener for Downtime and starts a new, cold run.
func (t *Target) crash() {
	t.restarts++
	t.stats.Crashes++
	t.coldLimiter.makeCold(t.Floor)
	if t.Listener != nil {
		t.Listener.Crash(t.Downtime)
	}
}

func (t *Target) sampleServiceTime() time.Duration {
	serviceTime := float64(t.ServiceTime)
	if t.fault.ServiceTime > 0 {
		serviceTime = float64(t.fault.ServiceTime)
	}
	serviceTime *= 1 + t.Jitter*(2*t.random.Float64()-1)
	if t.fault.StragglerInterval > 0 && t.random.IntN(t.fault.StragglerInterval) == 0 {
		serviceTime *= t.fault.StragglerFactor
	}
	return time.Duration(serviceTime)
}

// execute holds the slot for the service time and reports whether the request completed.
func (t *Target) execute(r *http.Request, req request, serviceTime time.Duration) bool {
	completed, cancelled := false, false
	wait := serviceTime
	if req.timeout > 0 {
		wait = min(wait, req.timeout)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		cancelled = true
	case <-timer.C:
		completed = wait == serviceTime
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running--
	switch {
	case completed:
		t.stats.Completed++
		t.stats.CompletedByShard = increment(t.stats.CompletedByShard, req.shard)
		t.coldLimiter.recordCompletion(float64(t.Slots) / t.ServiceTime.Seconds())
		t.Completions.Add(req.body, req.shard, req.snapshot)
	case cancelled:
		t.stats.Cancelled++
	default:
		t.stats.Expired++
	}
	return completed
}

// cachedReport is the load report that a target with a ReportLag reuses.
type cachedReport struct {
	report  wigeonspindle.LoadReport
	takenAt time.Time
}

func (t *Target) load(w http.ResponseWriter) {
	t.mutex.Lock()
	t.initialize()
	now := time.Now()
	if now.Sub(t.lastReport.takenAt) >= time.Duration(t.fault.ReportLag) {
		t.lastReport.takenAt = now
		t.lastReport.report = wigeonspindle.LoadReport{
			Running: t.running, Cold: t.coldLimiter.cold(), Draining: t.fault.Draining,
			Start: t.startID(), Snapshots: slices.Clone(t.Snapshots),
		}
	}
	report := t.lastReport.report
	if t.fault.ReportIdle {
		report.Running, report.Cold, report.Draining = 0, false, false
	}
	t.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}
