package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// entry is a key of the store, or its removal.
type entry struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// grant is a lease.
type grant struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's store: linearizable, with leases, and it keeps its whole history.
type store struct {
	server  *http.Server
	addr    string
	handler http.Handler

	mutex     sync.Mutex
	revision  uint64
	items     map[string]entry
	history   []entry
	leases    map[uint64]grant
	lastLease uint64
	changed   chan struct{}
	stop      chan struct{}
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		addr: listener.Addr().String(), revision: 1, items: make(map[string]entry), leases: make(map[uint64]grant), lastLease: 1000,
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.read)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	mux.HandleFunc("POST /v1/kv-lease", s.grantLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})
	s.server = &http.Server{Handler: s.handler}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

func (s *store) close() {
	close(s.stop)
	_ = s.server.Close()
}

// move makes the store serve at another address too, and returns a function that ends the service at the earlier one.
func (s *store) move() (leave func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	earlier := s.server
	s.addr, s.server = listener.Addr().String(), &http.Server{Handler: s.handler}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	return func() { _ = earlier.Close() }, nil
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		s.mutex.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.ends) {
				s.dropLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

// dropLease ends a lease and removes its keys. The caller holds the mutex.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.apply(entry{Key: key, Tombstone: true})
		}
	}
}

// apply makes one change. The caller holds the mutex.
func (s *store) apply(change entry) {
	s.revision++
	change.Revision = s.revision
	if change.Tombstone {
		delete(s.items, change.Key)
	} else {
		change.Created = change.Revision
		if known, ok := s.items[change.Key]; ok {
			change.Created = known.Created
		}
		s.items[change.Key] = change
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a document as the operator or a replica does, and returns when the store has taken it.
func (s *store) put(key string, document any) time.Time {
	data, err := json.Marshal(document)
	if err != nil {
		panic(err) // The documents of the cases can be encoded.
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(entry{Key: key, Value: data})
	return time.Now()
}

// remove deletes a key if it exists.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(entry{Key: key, Tombstone: true})
	}
}

// count returns the number of keys with a prefix.
func (s *store) count(prefix string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document) // The client may have left.
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		entry
		StoreRevision uint64 `json:"store_revision"`
	}{item, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []entry{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mutex.Lock()
		changed, events := s.changed, []entry{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, change := range s.history[first:] {
			if strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		revision := s.revision
		s.mutex.Unlock()
		if len(events) > 0 || last {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []entry  `json:"expected"`
		Writes   []entry  `json:"writes"`
		Deletes  []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, holds := []entry{}, true
	for _, expected := range txn.Expected {
		item := s.items[expected.Key]
		holds = holds && item.Revision == expected.Revision
		if item.Revision != 0 {
			current = append(current, item)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, item := range txn.Writes {
		if strings.HasPrefix(item.Key, "op/") || strings.HasPrefix(item.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[item.Lease]; item.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, item := range txn.Writes {
		s.apply(entry{Key: item.Key, Value: item.Value, Lease: item.Lease})
	}
	for _, key := range txn.Deletes {
		if _, ok := s.items[key]; ok {
			s.apply(entry{Key: key, Tombstone: true})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(request.TTL)*time.Millisecond, time.Second), 10*time.Minute)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = grant{ttl: ttl, ends: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.ends = time.Now().Add(lease.ttl)
	s.leases[id] = lease
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": lease.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}
