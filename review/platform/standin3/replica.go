package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the time between two reports of a replica, and lapseBeats the number of missed ones after which
	// its entry is removed.
	beatInterval = 1200 * time.Millisecond
	lapseBeats   = 3
	// queueLimit is the number of requests that wait at a replica before it rejects more.
	queueLimit = 12
	// viaHeader names the host that a client has sent its request to. Hosts pass it on like any other header.
	viaHeader = "X-Via"
)

// arrival is a request at a replica.
type arrival struct {
	at      time.Time
	id, via string
	ran     bool
}

// replica is a stand-in for a replica of a service.
type replica struct {
	id, service, zone string
	store             *store
	slots             int
	work              func(path string) time.Duration
	body              func(path string) []byte

	addr    string
	server  *http.Server
	stop    chan struct{}
	ending  sync.Once
	slot    chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	limit   atomic.Pointer[string] // limit is the Server-Limit that the replica names; nil is none.
	leaving atomic.Bool            // leaving reports that the replica stops soon.
	muted   atomic.Bool            // muted reports that the reports of the replica don't reach the store.

	mutex    sync.Mutex
	arrivals []arrival
	sequence uint64
	born     int64
	beatAt   time.Time // beatAt is when the store last took a report.
}

// start starts the replica on a free port and reports it to the store.
func (r *replica) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr = listener.Addr().String()
	r.slot, r.stop, r.born = make(chan struct{}, r.slots), make(chan struct{}), time.Now().UnixMilli()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	r.beat()
	go r.report()
	return nil
}

// close ends the replica without a report.
func (r *replica) close() {
	r.ending.Do(func() { close(r.stop) })
	_ = r.server.Close()
}

// report writes the entry of the replica at each beat, and removes it after lapseBeats missed ones, as the store does.
func (r *replica) report() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
		if !r.muted.Load() {
			r.beat()
			continue
		}
		r.mutex.Lock()
		silent := time.Since(r.beatAt)
		r.mutex.Unlock()
		if silent >= lapseBeats*beatInterval {
			r.store.remove("servers/" + r.id)
		}
	}
}

// beat writes the entry of the replica and returns when the store has taken it.
func (r *replica) beat() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	state := "ready"
	if r.leaving.Load() {
		state = "draining"
	}
	r.beatAt = r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "capacity": r.slots, "state": state,
		"warmup_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	return r.beatAt
}

// leave reports that the replica is draining, and ends it without a further report after a time.
func (r *replica) leave(after time.Duration) {
	r.leaving.Store(true)
	r.beat()
	time.AfterFunc(after, func() {
		r.close()
		r.store.remove("servers/" + r.id)
	})
}

// taken returns the arrivals so far.
func (r *replica) taken() []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *replica) record(request *http.Request, at time.Time, ran bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.arrivals = append(r.arrivals, arrival{at: at, id: request.Header.Get("X-Request-Id"), via: request.Header.Get(viaHeader), ran: ran})
}

// setLimit makes the replica name a limit of requests a second in its answers.
func (r *replica) setLimit(perSecond string) { r.limit.Store(&perSecond) }

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	_, _ = io.Copy(io.Discard, request.Body) // A body that breaks off ends the connection.
	header := w.Header()
	header.Set("Keep-Alive", "timeout=10")
	header.Set("X-Instance-Id", r.id)
	if request.URL.Path == "/health" {
		return
	}
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", r.running.Load(), r.waiting.Load(), r.slots))
	if r.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if limit := r.limit.Load(); limit != nil {
		header.Set("Server-Limit", *limit)
	}
	reject := func(status int) {
		header.Set("X-Not-Executed", "1")
		r.record(request, arrived, false)
		w.WriteHeader(status)
	}
	expected := request.Header.Get("X-Expected-Instance")
	left, err := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		left = 30000
	}
	switch {
	case id == "":
		reject(http.StatusBadRequest)
		return
	case expected != "" && expected != r.id:
		reject(http.StatusMisdirectedRequest)
		return
	case r.waiting.Load() >= queueLimit:
		reject(http.StatusServiceUnavailable)
		return
	}
	deadline := time.After(time.Duration(left * float64(time.Millisecond)))
	r.waiting.Add(1)
	select {
	case r.slot <- struct{}{}:
		r.waiting.Add(-1)
	case <-deadline:
		r.waiting.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		r.waiting.Add(-1)
		r.record(request, arrived, false)
		return
	}
	r.running.Add(1)
	defer func() { r.running.Add(-1); <-r.slot }()
	r.record(request, arrived, true)
	select {
	case <-time.After(r.work(request.URL.Path)):
	case <-request.Context().Done():
		return
	}
	body := r.body(request.URL.Path)
	header.Set("X-Response-Seal", fmt.Sprintf("%s.%x", r.id, sha256.Sum256(append([]byte(id+r.id), body...)))[:32])
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", r.running.Load(), r.waiting.Load(), r.slots))
	_, _ = w.Write(body) // The host may have left.
}
