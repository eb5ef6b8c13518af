package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slots is the number of requests that a replica runs at a time, and queueLength how many more may wait.
	slots, queueLength = 2, 12
	// work is the mean time of a run. Runs take from half of it to one and a half times as long.
	work = 50 * time.Millisecond
	// crashingTerms begin the terms of the searches that crash each replica.
	crashingTerms = "crash"
)

// replica is a server of one service.
type replica struct {
	id, service, zone, address string
	// crash is called when the replica begins to run a request that crashes it.
	crash func()

	born   int64
	server *httptest.Server
	ended  atomic.Bool
	slots  chan struct{}
	inside atomic.Int64 // inside counts the requests that run or wait.

	mutex sync.Mutex
	runs  map[string]int // runs counts the runs by request ID.
}

// newReplica starts a replica that listens on an address.
func newReplica(id, service, zone, address string) *replica {
	r := &replica{
		id: id, service: service, zone: zone, address: address, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), runs: make(map[string]int),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err) // Nothing else uses the address.
	}
	r.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: r}}
	r.server.Start()
	return r
}

// end ends the replica: its port is closed and its connections break.
func (r *replica) end() {
	if r.ended.Swap(true) {
		return
	}
	_ = r.server.Listener.Close() // The port is closed also if this returns an error.
	r.server.CloseClientConnections()
}

// entry returns the entry of the replica in the store.
func (r *replica) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "capacity": slots,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": r.born,
	}
}

// runsOf returns the number of runs of a request.
func (r *replica) runsOf(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.runs[id]
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if request.Header.Get("X-Expected-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // The host has closed the connection.
	}
	defer r.inside.Add(-1)
	if r.inside.Add(1) > slots+queueLength {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	r.mutex.Lock()
	r.runs[id]++
	r.mutex.Unlock()
	if strings.HasPrefix(request.URL.Query().Get("q"), crashingTerms) {
		r.crash()
		panic(http.ErrAbortHandler) // There is no answer.
	}
	select {
	case <-time.After(work/2 + rand.N(work)):
	case <-request.Context().Done():
		return // It drops the request when its connection closes.
	}
	record := sha256.Sum256([]byte(r.id + id))
	w.Header().Set("X-Response-Seal", fmt.Sprintf("%s.%x", r.id, record[:4]))
	running := len(r.slots)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", running, max(int(r.inside.Load())-running, 0), slots))
	_, _ = w.Write(record[:16]) // The host may have closed the connection.
}
