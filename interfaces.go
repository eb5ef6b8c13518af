package wigeonspindle

import (
	"context"
	"time"
)

// Clock returns the current time. Decision code takes times as arguments instead.
type Clock interface {
	Now() time.Time
}

// Sender runs one attempt on one target and classifies the result. It blocks until the
// outcome is known, the attempt's deadline passes or ctx ends.
type Sender interface {
	Send(ctx context.Context, target Target, attempt Attempt) Outcome
}

// Prober asks a target for its load report.
type Prober interface {
	Probe(ctx context.Context, target Target) (LoadReport, error)
}

// Preconnector keeps connections to targets ready.
type Preconnector interface {
	// Preconnect opens connections to a target ahead of need, at most one for each slot.
	Preconnect(ctx context.Context, target Target)
	// CloseIdle closes the idle connections to a target.
	CloseIdle(target string)
}

// LoadReport is the load that a target reports. It may be late or wrong.
type LoadReport struct {
	Running   int      `json:"running"`
	Waiting   int      `json:"waiting"`
	Cold      bool     `json:"cold"`
	Draining  bool     `json:"draining"`
	Start     string   `json:"start"` // Start identifies the run of the target's process.
	Snapshots []string `json:"snapshots"`
}

// Record is a value of the key-value service with its version.
type Record struct {
	Key     string
	Value   []byte
	Version uint64 // Version is 0 when the key does not exist.
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the record; a missing key has version 0.
	Get(ctx context.Context, key string) (Record, error)
	// CompareAndSwap writes the value when the current version equals record.Version and
	// returns the new record. It returns a Refusal with CodeConflict when the version differs
	// and verdict MayHaveRun when the result is not known.
	CompareAndSwap(ctx context.Context, record Record) (Record, error)
	// Watch waits until the version of the key exceeds after, or ctx ends.
	Watch(ctx context.Context, key string, after uint64) (Record, error)
}

// HostLister returns the platform's list of hosts, which lags behind changes.
type HostLister interface {
	List(ctx context.Context) ([]ListedHost, error)
}

// Recorder keeps events for the time line.
type Recorder interface {
	// Record stamps the event and keeps it.
	Record(Event)
	// Stamp returns a stamp for an outgoing message.
	Stamp() Timestamp
	// Observe advances the clock past the stamp of an incoming message.
	Observe(Timestamp)
}

// Policy holds the choices in which deployments differ.
type Policy interface {
	// HedgeDelay returns how long an attempt may run before a hedge is considered.
	HedgeDelay(estimate LatencyEstimate) time.Duration
	// SoftDeadline returns when a query with some answers stops waiting for the rest.
	SoftDeadline(arrived, deadline time.Time) time.Time
	// ShouldRestart reports whether a query whose snapshot was withdrawn starts again.
	ShouldRestart(remaining, budget time.Duration) bool
}

// LatencyEstimate holds latency quantiles of an index's attempts.
type LatencyEstimate struct {
	P50, P95, P99 time.Duration
	Count         int // Count is the number of samples behind the quantiles.
}

// Picker chooses replicas.
type Picker interface {
	// Pick chooses a target for a shard, leaving out those already tried. It reports false
	// when no replica is left.
	Pick(index, version, shard string, tried []string, now time.Time) (string, bool)
	// HasSnapshot reports whether a replica of the shard is not known to lack the snapshot.
	HasSnapshot(index, version, shard string, now time.Time) bool
	// MarkSnapshotMissing records that a target lacks the snapshot.
	MarkSnapshotMissing(target, version string, now time.Time)
}

// LatencyEstimator keeps the latency of the attempts of an index.
type LatencyEstimator interface {
	// Observe adds the time of a completed attempt.
	Observe(took time.Duration, now time.Time)
	// Estimate returns the quantiles of the latest attempts.
	Estimate(now time.Time) LatencyEstimate
}

// Budget bounds extra attempts.
type Budget interface {
	// Deposit adds the tokens that one attempt earns.
	Deposit()
	// TryWithdraw uses one token and reports whether there was one.
	TryWithdraw() bool
	// HasSurplus reports whether there is a token beyond the reserve for urgent attempts.
	HasSurplus() bool
}

// Frontend is what the callers' listener needs from a host.
type Frontend interface {
	// Query runs a query and waits for its answer.
	Query(ctx context.Context, query Query) Answer
	// Addresses answers a caller in a failure domain, which may be empty.
	Addresses(domain string) AddressAnswer
	// Leaving reports that the host stops soon.
	Leaving() bool
}

// EventSink receives the recorded events. Its calls are not ordered by stamp.
type EventSink interface {
	Write(event Event)
}

// CallMeter receives the measurements of calls. Its methods must not block.
type CallMeter interface {
	// ObserveReply counts a call by its outcome and its latency.
	ObserveReply(route, outcome string, took time.Duration)
	// ObserveCoverage counts the parts in an answer and the parts of a complete answer.
	ObserveCoverage(route string, answered, total int)
	// CountSend counts a send to a replica.
	CountSend(route string, kind SendKind)
}
