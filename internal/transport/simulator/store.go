package simulator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// maxValueBytes is the largest value that the store accepts.
const maxValueBytes = 1 << 20

// Store simulates the key-value service.
type Store struct {
	mutex        sync.Mutex
	values       map[string]encoder.StoreValue
	changed      chan struct{}
	calls        StoreCalls
	fault        storeFault
	outage       chan struct{} // outage is closed when an outage begins, which aborts waiting watches.
	leases       map[string]*storeLease
	leasesIssued int
	readLimit    rateLimit
	writeLimit   rateLimit
}

// StoreCalls counts calls by kind. A watch counts as one call however long it waits.
type StoreCalls struct {
	Get     int `json:"get"`
	Put     int `json:"put"`
	Watch   int `json:"watch"`
	Lease   int `json:"lease"`
	Refused int `json:"refused"` // Refused counts calls refused by an outage or a rate limit.
}

// Total returns the number of calls of all kinds.
func (c StoreCalls) Total() int { return c.Get + c.Put + c.Watch + c.Lease }

type storeFault struct {
	down        bool
	delay       time.Duration
	lostReplies int
}

// StoreChange changes the faults of the store. Absent fields leave the fault unchanged.
type StoreChange struct {
	Down  *bool                   `json:"down,omitempty"`  // Down aborts every call, including waiting watches.
	Delay *wigeonspindle.Duration `json:"delay,omitempty"` // Delay is added to every call.
	// LostReplies is the number of next writes that take effect but whose reply is lost.
	LostReplies *int `json:"lost,omitempty"`
	ReadLimit   *int `json:"reads,omitempty"`  // ReadLimit limits reads per second; 0 means no limit.
	WriteLimit  *int `json:"writes,omitempty"` // WriteLimit limits writes per second; 0 means no limit.
}

// Apply changes the faults of the store.
func (s *Store) Apply(change StoreChange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initialize()
	wasDown := s.fault.down
	set(&s.fault.down, change.Down)
	if change.Delay != nil {
		s.fault.delay = time.Duration(*change.Delay)
	}
	set(&s.fault.lostReplies, change.LostReplies)
	set(&s.readLimit.limit, change.ReadLimit)
	set(&s.writeLimit.limit, change.WriteLimit)
	if s.fault.down && !wasDown {
		close(s.outage)
		s.outage = make(chan struct{})
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	calls := s.Counts()
	return calls.Get + calls.Put + calls.Watch + calls.Lease
}

// Counts returns the number of calls so far by kind.
func (s *Store) Counts() StoreCalls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// ServeHTTP serves GET and PUT /kv/KEY, GET /watch/KEY, POST /lease and PUT and DELETE
// /lease/ID.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/"))
	kind, key, _ := strings.Cut(path, "/")
	if err != nil || !s.countCall(kind, r.Method) {
		http.NotFound(w, r)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	switch {
	case kind == "watch":
		s.watch(w, r, key)
	case kind == "lease":
		s.lease(w, r, key)
	case r.Method == http.MethodGet:
		s.get(w, key)
	default:
		s.put(w, r, key)
	}
}

// countCall counts a call. It returns false for an unknown kind or method.
func (s *Store) countCall(kind, method string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.initialize()
	switch {
	case kind == "kv" && method == http.MethodGet:
		s.calls.Get++
	case kind == "kv" && method == http.MethodPut:
		s.calls.Put++
	case kind == "watch" && method == http.MethodGet:
		s.calls.Watch++
	case kind == "lease":
		s.calls.Lease++
	default:
		return false
	}
	return true
}

// applyFaults applies the faults that affect every call. It returns false when the call has
// been refused or cancelled.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	down, delay := s.fault.down, s.fault.delay
	limit := &s.readLimit
	if r.Method != http.MethodGet {
		limit = &s.writeLimit
	}
	withinLimit := limit.allow(time.Now())
	if down || !withinLimit {
		s.calls.Refused++
	}
	s.mutex.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case !withinLimit:
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	case delay > 0:
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(delay):
		}
	}
	return true
}

func (s *Store) initialize() {
	if s.values == nil {
		s.values = make(map[string]encoder.StoreValue)
		s.leases = make(map[string]*storeLease)
		s.changed = make(chan struct{})
		s.outage = make(chan struct{})
	}
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mutex.Lock()
	s.expire(time.Now())
	value := s.values[key]
	s.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	newVersion, status := s.compareAndSwap(key, r.URL.Query().Get("lease"), data, version)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if s.loseReply() {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(encoder.StoreValue{Version: newVersion})
}

func (s *Store) compareAndSwap(key, leaseID string, data []byte, version uint64) (uint64, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(time.Now())
	if s.values[key].Version != version {
		return 0, http.StatusConflict
	}
	if leaseID != "" {
		lease := s.leases[leaseID]
		if lease == nil {
			return 0, http.StatusNotFound
		}
		lease.keys = append(lease.keys, key)
	}
	s.write(key, data)
	return version + 1, http.StatusOK
}

// write stores a value under the next version and wakes waiting watches.
func (s *Store) write(key string, data []byte) {
	s.values[key] = encoder.StoreValue{Value: data, Version: s.values[key].Version + 1}
	close(s.changed)
	s.changed = make(chan struct{})
}

// loseReply reports whether to drop the reply to a write.
func (s *Store) loseReply() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.fault.lostReplies == 0 {
		return false
	}
	s.fault.lostReplies--
	return true
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for {
		s.mutex.Lock()
		next := s.expire(time.Now())
		value, changed, outage := s.values[key], s.changed, s.outage
		s.mutex.Unlock()
		if value.Version > after {
			_ = json.NewEncoder(w).Encode(value)
			return
		}
		timer := time.NewTimer(next)
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-outage:
			timer.Stop()
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// rateLimit limits the number of calls in each second of the clock.
type rateLimit struct {
	limit  int
	second int64
	used   int
}

func (l *rateLimit) allow(now time.Time) bool {
	if l.limit == 0 {
		return true
	}
	if second := now.Unix(); second != l.second {
		l.second, l.used = second, 0
	}
	l.used++
	return l.used <= l.limit
}
