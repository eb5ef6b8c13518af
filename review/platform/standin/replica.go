package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica. It serves one request at a time on a connection, runs a number of
// requests at once, queues a few more and turns the others away. Its fields are set before start.
type replica struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration // work is the mean time of a run.
	store             *store
	record            *record
	journal           *journal
	// warmup is how long the replica is cold after a start; 0 means that it is never cold.
	warmup time.Duration
	// onArrival is called with each request that names this replica, before it is run or turned away.
	onArrival func(r *replica, id string)
	// needUntil and retryAfter make the replica turn away requests with Retry-After until a time.
	needUntil  time.Time
	retryAfter string

	mutex      sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]bool
	running    int
	waiting    int
	free       chan struct{} // free is closed when a slot becomes free.
	copyShare  float64       // copyShare is the share of the answers of which a second copy follows late.
	leaving    bool
	ended      bool
	state      string
	sequence   uint64
	born       time.Time
	coldSince  time.Time // coldSince and coldUntil are the bounds of the last time in which the replica is cold.
	coldUntil  time.Time
	stop       chan struct{}
	heartbeats sync.WaitGroup
	random     *rand.Rand
}

// heartbeatInterval is the time between two entries of a replica in the store.
const heartbeatInterval = 1200 * time.Millisecond

// start listens on an address, a free one if it is empty, and writes the entry.
func (r *replica) start(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mutex.Lock()
	r.listener, r.conns, r.free, r.stop = listener, make(map[net.Conn]bool), make(chan struct{}), make(chan struct{})
	r.running, r.waiting, r.state, r.ended, r.sequence, r.born = 0, 0, "ready", false, 0, time.Now()
	r.coldSince, r.coldUntil = r.born, r.born.Add(r.warmup)
	if r.random == nil {
		r.random = rand.New(rand.NewPCG(uint64(len(r.id)), uint64(r.id[len(r.id)-1])))
	}
	r.mutex.Unlock()
	r.writeEntry()
	r.heartbeats.Go(r.heartbeat)
	go r.accept(listener)
	return nil
}

func (r *replica) address() string { return r.listener.Addr().String() }

// crash ends the replica at once. It sends nothing to the store.
func (r *replica) crash() {
	r.mutex.Lock()
	if r.ended {
		r.mutex.Unlock()
		return
	}
	r.ended = true
	close(r.stop)
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mutex.Unlock()
	r.heartbeats.Wait()
}

// drain reports that the replica leaves. It returns when the store has accepted the report.
func (r *replica) drain() {
	r.mutex.Lock()
	r.state, r.leaving = "draining", true
	r.mutex.Unlock()
	r.writeEntry()
}

func (r *replica) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.writeEntry()
		}
	}
}

// coldFor returns how much longer the replica is cold. The caller holds the mutex.
func (r *replica) coldFor() time.Duration { return max(time.Until(r.coldUntil), 0) }

// chill makes the replica cold again for a time. It returns when the store has accepted the report.
func (r *replica) chill(duration time.Duration) {
	r.mutex.Lock()
	r.coldSince = time.Now()
	r.coldUntil = r.coldSince.Add(duration)
	r.mutex.Unlock()
	r.writeEntry()
}

func (r *replica) writeEntry() {
	r.mutex.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "capacity": r.slots, "state": r.state,
		"warmup_left_ms": r.coldFor().Milliseconds(), "sequence": r.sequence, "born": r.born.UnixMilli(),
	}
	r.mutex.Unlock()
	r.store.put("servers/"+r.id, entry)
}

func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // The replica has ended.
		}
		r.mutex.Lock()
		if r.ended {
			_ = conn.Close()
		} else {
			r.conns[conn] = true
		}
		r.mutex.Unlock()
		go r.serve(conn)
	}
}

// serve answers the requests of a connection, one at a time.
func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mutex.Lock()
		delete(r.conns, conn)
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte // late is the second copy of the last answer, which is sent where the next one is due.
	lateID := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			r.record.printf("replica %s sends a second copy of its answer to %s when %s has arrived", r.id, lateID, request.Header.Get("X-Request-Id"))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		gone := make(chan struct{}) // gone is closed when the connection has ended.
		ended := make(chan error, 1)
		go func() {
			_, err := reader.Peek(1)
			ended <- err
			if err != nil {
				close(gone)
			}
		}()
		answer := r.answer(request, body, gone)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if r.draw() {
			late, lateID = answer, request.Header.Get("X-Request-Id")
		}
		if err := <-ended; err != nil {
			return
		}
	}
}

// draw reports whether a second copy of an answer follows late.
func (r *replica) draw() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.copyShare > 0 && r.random.Float64() < r.copyShare
}

// answer runs a request or turns it away. It returns nil if the connection has ended.
func (r *replica) answer(request *http.Request, body []byte, gone <-chan struct{}) []byte {
	id := request.Header.Get("X-Request-Id")
	switch {
	case request.URL.Path == "/health":
		r.mutex.Lock()
		left := r.coldFor().Milliseconds()
		r.mutex.Unlock()
		return r.encode(200, id, nil, "X-Instance-Id", r.id, "X-Warmup-Ms", strconv.FormatInt(left, 10))
	case request.Header.Get("X-Expected-Instance") != r.id:
		return r.encode(421, id, nil, "X-Instance-Id", r.id)
	case id == "":
		return r.encode(400, id, nil, "X-Not-Executed", "1")
	}
	r.journal.arrived(r, id)
	if r.onArrival != nil {
		r.onArrival(r, id)
	}
	r.mutex.Lock()
	if time.Now().Before(r.needUntil) {
		r.mutex.Unlock()
		r.record.printf("replica %s turns %s away, Retry-After %s", r.id, id, r.retryAfter)
		return r.encode(503, id, nil, "X-Not-Executed", "1", "Retry-After", r.retryAfter)
	}
	if r.running >= r.slots && r.waiting >= r.queue {
		r.mutex.Unlock()
		r.record.printf("replica %s turns %s away: full", r.id, id)
		return r.encode(503, id, nil, "X-Not-Executed", "1")
	}
	r.waiting++
	for r.running >= r.slots {
		free := r.free
		r.mutex.Unlock()
		select {
		case <-free:
		case <-gone:
			r.mutex.Lock()
			r.waiting--
			r.mutex.Unlock()
			return nil
		}
		r.mutex.Lock()
	}
	r.waiting--
	r.running++
	duration := time.Duration((0.6 + 0.8*r.random.Float64()) * float64(r.work))
	r.mutex.Unlock()
	r.journal.ran(r, id)
	r.record.printf("replica %s runs %s", r.id, id)
	cut := false
	select {
	case <-time.After(duration):
	case <-gone:
		cut = true
	}
	r.mutex.Lock()
	r.running--
	close(r.free)
	r.free = make(chan struct{})
	r.mutex.Unlock()
	if cut {
		r.record.printf("replica %s dropped %s: its connection ended", r.id, id)
		return nil
	}
	return r.encode(200, id, append([]byte("done "+id+" "), body...), "X-Response-Seal", "seal."+r.id+"."+id)
}

// encode returns an answer with the ID of its request.
func (r *replica) encode(status int, id string, body []byte, fields ...string) []byte {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	r.mutex.Lock()
	if id != "" {
		fields = append(fields, "X-Request-Id", id)
	}
	if r.leaving {
		fields = append(fields, "Server-Leaving", "1")
	}
	fields = append(fields, "X-Server-Load", strings.Join([]string{strconv.Itoa(r.running), strconv.Itoa(r.waiting), strconv.Itoa(r.slots)}, ","))
	r.mutex.Unlock()
	for i := 0; i < len(fields); i += 2 {
		fmt.Fprintf(&answer, "%s: %s\r\n", fields[i], fields[i+1])
	}
	fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n", len(body))
	answer.Write(body)
	return answer.Bytes()
}
