package simulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// maxValue is the largest value that the store holds.
const maxValue = 1 << 20

// Store is a stand-in for the key-value service.
type Store struct {
	mutex   sync.Mutex
	values  map[string]encoder.StoreValue
	changed chan struct{}
	calls   int
}

// ServeHTTP serves GET and PUT /kv/KEY and GET /watch/KEY.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls++
	s.mutex.Unlock()
	key, watched := strings.CutPrefix(r.URL.Path, "/watch/")
	if watched {
		s.watch(w, r, key)
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, "/kv/")
	switch {
	case ok && r.Method == http.MethodGet:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(s.values[key])
	case ok && r.Method == http.MethodPut:
		s.put(w, r, key)
	default:
		http.NotFound(w, r)
	}
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.values[key].Version != version {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if s.values == nil {
		s.values = make(map[string]encoder.StoreValue)
	}
	value := encoder.StoreValue{Value: data, Version: version + 1}
	s.values[key] = value
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	_ = json.NewEncoder(w).Encode(encoder.StoreValue{Version: value.Version})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for {
		s.mutex.Lock()
		value := s.values[key]
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mutex.Unlock()
		if value.Version > after {
			_ = json.NewEncoder(w).Encode(value)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}
