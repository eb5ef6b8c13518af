package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client calls the system as the pages say: it asks for addresses, keeps them for their time, keeps connections open, and
// repeats an idempotent request once, after the Retry-After of a refusal.
type client struct {
	zone      string
	fleet     []*host
	authority string

	mutex     sync.Mutex
	addresses []string
	until     time.Time
	transport *http.Transport
}

var requestCount atomic.Uint64

func newClient(zone, authority string, fleet []*host) *client {
	return &client{zone: zone, authority: authority, fleet: fleet, transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// resolve returns the addresses of hosts.
func (c *client) resolve() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Now().Before(c.until) {
		return c.addresses
	}
	for _, i := range rand.Perm(len(c.fleet))[:min(3, len(c.fleet))] {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.fleet[i].directory+"/v1/resolve?name="+c.authority+"&region=bc-coast&zone="+c.zone, nil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			cancel()
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		cancel()
		if err == nil && len(answer.Addrs) > 0 {
			c.addresses, c.until = answer.Addrs, time.Now().Add(time.Duration(min(answer.TTL, 5)*float64(time.Second)))
			return c.addresses
		}
	}
	return c.addresses
}

// outcome is the answer to one attempt of a client.
type outcome struct {
	id, via string
	status  int // status is 0 without an answer.
	header  http.Header
	body    []byte
	sent    time.Time
	ended   time.Time
}

// attempt sends a request once.
func (c *client) attempt(method, path string, body string, deadline time.Duration) outcome {
	addresses := c.resolve()
	if len(addresses) == 0 {
		return outcome{}
	}
	result := outcome{via: addresses[rand.IntN(len(addresses))], id: fmt.Sprintf("%016x", requestCount.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+result.via+path, strings.NewReader(body))
	if err != nil {
		return result
	}
	request.Host = c.authority
	request.Header.Set("X-Request-Id", result.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set(viaHeader, result.via)
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		result.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	result.ended = time.Now()
	if err == nil {
		result.status, result.header = response.StatusCode, response.Header
	}
	return result
}

// call sends an idempotent request, and once more if it isn't served. It returns all attempts.
func (c *client) call(path string, deadline time.Duration) []outcome {
	end := time.Now().Add(deadline)
	first := c.attempt(http.MethodGet, path, "", deadline)
	outcomes := []outcome{first}
	if first.status >= 200 && first.status < 300 || first.status >= 400 && first.status < 420 {
		return outcomes
	}
	if first.header != nil {
		if seconds, err := strconv.ParseFloat(first.header.Get("Retry-After"), 64); err == nil {
			time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3))
		}
	}
	if left := time.Until(end); left > 10*time.Millisecond {
		outcomes = append(outcomes, c.attempt(http.MethodGet, path, "", left))
	}
	return outcomes
}

// load sends requests at a rate, independent of the answers, until stop is closed. Each is passed to done.
func load(perSecond float64, stop <-chan struct{}, send func()) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		wait := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(wait):
			calls.Go(send)
		}
	}
}
