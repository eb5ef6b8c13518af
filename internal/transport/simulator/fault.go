package simulator

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Fault is the faulty behaviour of a target. The zero value has none.
type Fault struct {
	Service wigeonspindle.Duration // Service replaces the time of a request when set.
	Every   int                    // Every makes one request in that many a straggler.
	Factor  float64                // Factor is how many times slower a straggler is.
	Shed    float64                // Shed is the share of requests refused at random.
	Lag     wigeonspindle.Duration // Lag is how long a load report is repeated.
	Mislead bool                   // Mislead reports an idle, warm, serving target.
	// Draining refuses new requests.
	Draining bool
}

// TargetChange switches the faults of targets. Absent fields stay as they are.
type TargetChange struct {
	Names    []string                `json:"names,omitempty"`  // Names selects targets; empty selects by domain.
	Domain   string                  `json:"domain,omitempty"` // Domain selects targets; empty selects all.
	Index    string                  `json:"index,omitempty"`  // Index restricts the selection when set.
	Service  *wigeonspindle.Duration `json:"service,omitempty"`
	Every    *int                    `json:"every,omitempty"`
	Factor   *float64                `json:"factor,omitempty"`
	Shed     *float64                `json:"shed,omitempty"`
	Lag      *wigeonspindle.Duration `json:"lag,omitempty"`
	Mislead  *bool                   `json:"mislead,omitempty"`
	Draining *bool                   `json:"draining,omitempty"`
	Add      []string                `json:"add,omitempty"`      // Add names snapshots to serve.
	Withdraw []string                `json:"withdraw,omitempty"` // Withdraw names snapshots to stop serving.
	Cold     bool                    `json:"cold,omitempty"`     // Cold makes the targets cold without warning.
	Reset    bool                    `json:"reset,omitempty"`    // Reset resets the open connections.
	Silence  bool                    `json:"silence,omitempty"`  // Silence silences the open connections.
	// Crash crashes the targets; their listeners stay down for this long.
	Crash *wigeonspindle.Duration `json:"crash,omitempty"`
}

// Apply switches faults of the target.
func (t *Target) Apply(change TargetChange) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.prepare()
	set(&t.fault.Service, change.Service)
	set(&t.fault.Every, change.Every)
	set(&t.fault.Factor, change.Factor)
	set(&t.fault.Shed, change.Shed)
	set(&t.fault.Lag, change.Lag)
	set(&t.fault.Mislead, change.Mislead)
	set(&t.fault.Draining, change.Draining)
	t.Snapshots = slices.DeleteFunc(append(slices.Clone(t.Snapshots), change.Add...), func(version string) bool {
		return slices.Contains(change.Withdraw, version)
	})
	if change.Cold {
		t.ramp.chill(t.Floor)
	}
	if t.Gate != nil && change.Reset {
		t.Gate.Reset()
	}
	if t.Gate != nil && change.Silence {
		t.Gate.Silence()
	}
	if change.Crash != nil {
		t.Down = time.Duration(*change.Crash)
		t.crash()
	}
}

func set[T any](value *T, change *T) {
	if change != nil {
		*value = *change
	}
}
