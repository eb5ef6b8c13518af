package simulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// HostList simulates the platform's list of hosts.
type HostList struct {
	mutex    sync.Mutex
	versions []hostListVersion // versions are ordered from the oldest to the newest.
	lag      time.Duration
	down     bool
	omitted  []string
	calls    int
}

type hostListVersion struct {
	setAt    time.Time
	listings []wigeonspindle.ListedHost
}

// HostListChange changes the list and its faults. Absent fields leave the state unchanged.
type HostListChange struct {
	Listings []wigeonspindle.ListedHost `json:"listings,omitempty"`
	Lag      *wigeonspindle.Duration    `json:"lag,omitempty"`  // Lag delays the visibility of changes to the list.
	Down     *bool                      `json:"down,omitempty"` // Down makes every call fail with status 503.
	// Omitted names hosts that the list wrongly omits.
	Omitted *[]string `json:"omitted,omitempty"`
}

// Set replaces the list.
func (h *HostList) Set(listings []wigeonspindle.ListedHost) {
	h.Apply(HostListChange{Listings: listings})
}

// Apply changes the list and its faults.
func (h *HostList) Apply(change HostListChange) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if change.Listings != nil {
		h.versions = append(h.versions, hostListVersion{setAt: time.Now(), listings: slices.Clone(change.Listings)})
	}
	if change.Lag != nil {
		h.lag = time.Duration(*change.Lag)
	}
	set(&h.down, change.Down)
	set(&h.omitted, change.Omitted)
}

// Calls returns the number of calls so far.
func (h *HostList) Calls() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.calls
}

// ServeHTTP serves GET /hosts.
func (h *HostList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.calls++
	if h.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Versions older than the newest visible one are no longer needed.
	for len(h.versions) > 1 && time.Since(h.versions[1].setAt) >= h.lag {
		h.versions = h.versions[1:]
	}
	visible := []wigeonspindle.ListedHost{}
	if len(h.versions) > 0 {
		visible = slices.DeleteFunc(slices.Clone(h.versions[0].listings), func(listing wigeonspindle.ListedHost) bool {
			return slices.Contains(h.omitted, listing.Name)
		})
	}
	_ = json.NewEncoder(w).Encode(visible)
}
