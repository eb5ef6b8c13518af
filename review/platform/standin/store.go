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

const (
	// storePageSize is the number of items in one page of a listing.
	storePageSize = 500
	// leaseCheckInterval is the time between two checks for leases that have ended.
	leaseCheckInterval = 20 * time.Millisecond
)

// item is a key-value pair of the store. Value is base64 on the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// transaction is the body of a kv-txn call.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	record   *record
	listener net.Listener
	server   http.Server
	done     chan struct{}

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
	// loseUntil is until when answers are lost, and lost holds the keys whose write has lost its answer.
	loseUntil time.Time
	lost      map[string]bool
	// writesWhileLosing counts the grants of leases and the transactions meanwhile.
	writesWhileLosing int
}

// newStore starts a store on a free loopback port.
func newStore(record *record) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		record: record, listener: listener, done: make(chan struct{}), revision: 100,
		items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.revoke)
	s.server.Handler = mux
	go func() { _ = s.server.Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() {
	close(s.done)
	_ = s.server.Close()
}

// put writes a document of an operator or a replica. Its return is the acknowledgement.
func (s *store) put(key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err) // All documents of the cases can be encoded.
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, value, 0)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.erase(key)
}

// write stores a value. The caller holds the mutex.
func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	written := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if known, ok := s.items[key]; ok {
		written.Created = known.Created
	}
	s.items[key] = written
	s.publish(written)
}

// erase deletes a key if it exists. The caller holds the mutex.
func (s *store) erase(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.publish(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) publish(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{found, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > storePageSize
	items := []item{}
	for _, key := range keys[:min(len(keys), storePageSize)] {
		items = append(items, s.items[key])
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events := []item{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append([]item{s.history[i]}, events...)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.Writes)+len(txn.Deletes)+len(txn.Expected) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.loses(&txn) {
		time.AfterFunc(lossDelay, func() {
			status, _ := s.apply(&txn)
			s.record.printf("the store executes the write of %s late: status %d", txn.Writes[0].Key, status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body := s.apply(&txn)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The host sees a response that fails.
}

// apply executes a transaction and returns the status and the body of the response.
func (s *store) apply(txn *transaction) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := []item{}
	conflict := false
	for _, row := range txn.Expected {
		found := s.items[row.Key]
		conflict = conflict || found.Revision != row.Revision
		current = append(current, found)
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range txn.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
		if reserved(write.Key) {
			return http.StatusForbidden, map[string]any{}
		}
	}
	for _, write := range txn.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Deletes {
		if !reserved(key) {
			s.erase(key)
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// reserved reports whether only operators and replicas may write a key.
func reserved(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMs < 1000 || body.TTLMs > 600000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.countWrite()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": id, "ttl_ms": body.TTLMs})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	known.ends = time.Now().Add(known.ttl)
	writeJSON(w, map[string]any{"ttl_ms": known.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.end(id)
	writeJSON(w, map[string]any{})
}

// end ends a lease and removes its keys. The caller holds the mutex.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, known := range s.items {
		if known.Lease == id {
			s.erase(key)
		}
	}
}

func (s *store) expireLeases() {
	for ticker := time.NewTicker(leaseCheckInterval); ; {
		select {
		case <-s.done:
			ticker.Stop()
			return
		case now := <-ticker.C:
			s.mutex.Lock()
			for id, known := range s.leases {
				if now.After(known.ends) {
					s.end(id)
				}
			}
			s.mutex.Unlock()
		}
	}
}

func writeJSON(w http.ResponseWriter, content any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content) // The host sees a response that fails.
}
