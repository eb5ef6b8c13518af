package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// authority is the host name that callers ask for.
	authority = "loom.example"
	// callerCount is the number of callers, each with a loopback address of its own.
	callerCount = 20
	// deadline is how long a caller waits for an answer.
	deadline = 1200 * time.Millisecond
)

// request is one request of a caller and its answer.
type request struct {
	id, host, path string
	sent           time.Time
	took           time.Duration
	status         int // status is 0 without an answer.
	retryAfter     string
}

// callers send requests to all hosts at a rate until they are stopped.
type callers struct {
	world *world
	// rate is the number of requests a second.
	rate int
	// path returns the path of the next request.
	path func(number int) string

	mutex    sync.Mutex
	requests []*request
	running  sync.WaitGroup
	stop     chan struct{}
}

// run starts the callers.
func (c *callers) run() {
	c.stop = make(chan struct{})
	clients := make([]*http.Client, callerCount)
	for i := range clients {
		clients[i] = newClient(i)
	}
	c.running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(c.rate))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			h := c.world.hosts[rand.IntN(len(c.world.hosts))]
			r := &request{id: fmt.Sprintf("r%d", number), host: h.name, path: c.path(number), sent: time.Now()}
			c.running.Go(func() { c.send(clients[number%callerCount], h, r) })
		}
	})
}

// sendCrashing sends a search that crashes replicas, each time by another caller and with other terms, and waits for the
// answer. These callers send nothing else.
func (c *callers) sendCrashing(attempt int) {
	h := c.world.hosts[attempt%len(c.world.hosts)]
	c.send(newClient(callerCount+attempt), h, &request{id: fmt.Sprintf("crash%d", attempt), host: h.name, path: searchPath(fmt.Sprintf("%s%d", crashingTerms, attempt)), sent: time.Now()})
}

// searchPath returns the path of a search.
func searchPath(terms string) string { return "/search/patterns?q=" + terms }

// newClient returns the client of a caller, which has a loopback address of its own.
func newClient(caller int) *http.Client {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+caller))}, Timeout: time.Second}
	return &http.Client{Timeout: deadline, Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
}

// close stops the callers, waits for the last answers and writes all requests to the record.
func (c *callers) close() {
	close(c.stop)
	c.running.Wait()
	for _, r := range c.requests {
		c.world.note("%s sent at %.3f s to %s: %s; status %d after %v, Retry-After %q, %d runs", r.id, r.sent.Sub(c.world.start).Seconds(), r.host, r.path,
			r.status, r.took.Round(time.Millisecond), r.retryAfter, c.world.runs(r.id))
	}
}

// send sends a request and keeps its answer.
func (c *callers) send(client *http.Client, h *host, r *request) {
	defer func() {
		r.took = time.Since(r.sent)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.requests = append(c.requests, r)
	}()
	message, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.caller+r.path, nil)
	if err != nil {
		panic(err) // The address and the path are valid.
	}
	message.Host = authority
	message.Header.Set("X-Request-Id", r.id)
	message.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(message)
	if err != nil {
		return // There is no answer.
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		r.status, r.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	}
}

// served returns the number of requests that were sent in a span of time, and how many of them succeeded.
func (c *callers) served(from, until time.Time) (sent, succeeded int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, r := range c.requests {
		if r.sent.Before(from) || !r.sent.Before(until) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			succeeded++
		}
	}
	return sent, succeeded
}
