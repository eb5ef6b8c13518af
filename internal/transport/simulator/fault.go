package simulator

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Fault configures the faulty behaviour of a target. The zero value means no faults.
type Fault struct {
	ServiceTime       wigeonspindle.Duration // ServiceTime overrides the time to serve a request when set.
	StragglerInterval int                    // StragglerInterval N makes on average one request in N a straggler.
	StragglerFactor   float64                // StragglerFactor is how many times slower a straggler is.
	ShedRatio         float64                // ShedRatio is the fraction of requests refused at random.
	ReportLag         wigeonspindle.Duration // ReportLag is how long a load report is reused.
	ReportIdle        bool                   // ReportIdle makes load reports claim an idle, warm, serving target.
	// Draining refuses new requests.
	Draining bool
}

// TargetChange changes the faults of targets. Absent fields leave the fault unchanged.
type TargetChange struct {
	Names             []string                `json:"names,omitempty"`  // Names selects targets by name; empty matches every name.
	Domain            string                  `json:"domain,omitempty"` // Domain selects a failure domain; empty matches every domain.
	Index             string                  `json:"index,omitempty"`  // Index selects an index; empty matches every index.
	ServiceTime       *wigeonspindle.Duration `json:"service,omitempty"`
	StragglerInterval *int                    `json:"every,omitempty"`
	StragglerFactor   *float64                `json:"factor,omitempty"`
	ShedRatio         *float64                `json:"shed,omitempty"`
	ReportLag         *wigeonspindle.Duration `json:"lag,omitempty"`
	ReportIdle        *bool                   `json:"mislead,omitempty"`
	Draining          *bool                   `json:"draining,omitempty"`
	AddSnapshots      []string                `json:"add,omitempty"`      // AddSnapshots lists snapshots to start serving.
	WithdrawSnapshots []string                `json:"withdraw,omitempty"` // WithdrawSnapshots lists snapshots to stop serving.
	MakeCold          bool                    `json:"cold,omitempty"`     // MakeCold makes the targets cold without a restart or prior notice.
	ResetConnections  bool                    `json:"reset,omitempty"`    // ResetConnections resets the open connections.
	Blackhole         bool                    `json:"silence,omitempty"`  // Blackhole discards all further bytes on the open connections.
	// Crash crashes the targets and keeps their listeners closed for this long.
	Crash *wigeonspindle.Duration `json:"crash,omitempty"`
}

// Apply changes the faults of the target.
func (t *Target) Apply(change TargetChange) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.initialize()
	set(&t.fault.ServiceTime, change.ServiceTime)
	set(&t.fault.StragglerInterval, change.StragglerInterval)
	set(&t.fault.StragglerFactor, change.StragglerFactor)
	set(&t.fault.ShedRatio, change.ShedRatio)
	set(&t.fault.ReportLag, change.ReportLag)
	set(&t.fault.ReportIdle, change.ReportIdle)
	set(&t.fault.Draining, change.Draining)
	t.Snapshots = slices.DeleteFunc(append(slices.Clone(t.Snapshots), change.AddSnapshots...), func(version string) bool {
		return slices.Contains(change.WithdrawSnapshots, version)
	})
	if change.MakeCold {
		t.coldLimiter.makeCold(t.Floor)
	}
	if t.Listener != nil && change.ResetConnections {
		t.Listener.Reset()
	}
	if t.Listener != nil && change.Blackhole {
		t.Listener.Blackhole()
	}
	if change.Crash != nil {
		t.Downtime = time.Duration(*change.Crash)
		t.crash()
	}
}

func set[T any](value *T, change *T) {
	if change != nil {
		*value = *change
	}
}
