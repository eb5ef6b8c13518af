package simulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxExpiryWait bounds how long a watch waits before it checks for expired leases again.
const maxExpiryWait = time.Minute

// storeLease is a lease of the key-value service. The values of its keys are cleared when it
// ends.
type storeLease struct {
	keys    []string
	ttl     time.Duration
	expires time.Time
}

// LeaseResponse is the store's response to the creation of a lease.
type LeaseResponse struct {
	ID string `json:"id"`
}

// lease serves POST /lease?ttl=, which creates a lease, PUT /lease/ID, which renews it, and
// DELETE /lease/ID, which ends it.
func (s *Store) lease(w http.ResponseWriter, r *http.Request, id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.expire(now)
	lease := s.leases[id]
	switch {
	case r.Method == http.MethodPost && id == "":
		ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
		if err != nil || ttl <= 0 {
			http.Error(w, "ttl must be a positive duration", http.StatusBadRequest)
			return
		}
		s.leasesIssued++
		id = strconv.Itoa(s.leasesIssued)
		s.leases[id] = &storeLease{ttl: ttl, expires: now.Add(ttl)}
		// Wake the waiting watches, so that they take the new expiry into account.
		close(s.changed)
		s.changed = make(chan struct{})
		_ = json.NewEncoder(w).Encode(LeaseResponse{ID: id})
	case lease == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut:
		lease.expires = now.Add(lease.ttl)
	case r.Method == http.MethodDelete:
		lease.expires = now
		s.expire(now)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// expire ends the expired leases and returns the time until the next expiry. It clears the
// keys of an ended lease under a new version, so that watches report the change.
func (s *Store) expire(now time.Time) time.Duration {
	next := maxExpiryWait
	for id, lease := range s.leases {
		if remaining := lease.expires.Sub(now); remaining > 0 {
			next = min(next, remaining)
			continue
		}
		delete(s.leases, id)
		for _, key := range lease.keys {
			s.write(key, nil)
		}
	}
	return next
}
