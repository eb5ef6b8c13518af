package simulator

import (
	"encoding/json"
	"net/http"
	"sync"

	"wigeonspindle.example/wigeonspindle"
)

// Hosts is a stand-in for the platform's list of hosts.
type Hosts struct {
	mutex    sync.Mutex
	listings []wigeonspindle.Listing
}

// Set replaces the list.
func (h *Hosts) Set(listings []wigeonspindle.Listing) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.listings = listings
}

// ServeHTTP serves GET /hosts.
func (h *Hosts) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(h.listings)
}
