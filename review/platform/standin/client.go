package main

import (
	"bufio"
	"bytes"
	"encoding/json"
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
	// connectTimeout is how long a client allows a new connection and a question to the directory.
	connectTimeout = time.Second
	// answerSlack is how long a client waits for an answer after its deadline, so that a late one is seen.
	answerSlack = time.Second
	// directoryTTL is the longest time for which a client keeps an answer of the directory.
	directoryTTL = 5 * time.Second
)

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	body                   []byte
}

// answer is what a client got. Its status is 0 if the connection ended without a complete answer.
type answer struct {
	status int
	seal   string
	body   []byte
	node   string
	sent   time.Time
	took   time.Duration
}

// clients sends requests to the addresses that the directory names, each on a new connection.
type clients struct {
	fleet   *fleet
	record  *record
	journal *journal
	prefix  string // prefix begins the IDs of the requests.
	hold    int    // hold is how many times its TTL an answer of the directory is kept; 0 means 1.

	mutex     sync.Mutex
	addresses []string
	resolved  time.Time
	ttl       time.Duration
	count     int
	pending   sync.WaitGroup
}

// resolve returns an address at random of the last answer of the directory, which it asks again when that is too old.
func (c *clients) resolve() (string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.addresses) == 0 || time.Since(c.resolved) > c.ttl*time.Duration(max(c.hold, 1)) {
		for _, node := range c.fleet.nodes {
			addresses, ttl, err := askDirectory(node.directory)
			if err == nil {
				c.addresses, c.ttl, c.resolved = addresses, min(ttl, directoryTTL), time.Now()
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return "", fmt.Errorf("no directory answers")
	}
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

func askDirectory(address string) ([]string, time.Duration, error) {
	client := http.Client{Timeout: connectTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/v1/resolve?name=review.example&region=r&zone=a")
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addrs []string `json:"addrs"`
		TTLS  float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, 0, err
	}
	if len(body.Addrs) == 0 {
		return nil, 0, fmt.Errorf("the directory names no address")
	}
	return body.Addrs, time.Duration(body.TTLS * float64(time.Second)), nil
}

// nextID returns a new request ID.
func (c *clients) nextID() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.count++
	return fmt.Sprintf("%sq%06d", c.prefix, c.count)
}

// send sends a request in the background to a node that the directory names.
func (c *clients) send(method, path string, deadline time.Duration, body []byte) {
	id := c.nextID()
	c.pending.Go(func() {
		node, err := c.resolve()
		if err != nil {
			c.record.printf("client has no node for %s: %v", id, err)
			return
		}
		c.exchange(node, request{id: id, method: method, host: "review.example", path: path + id, deadline: deadline, body: body})
	})
}

// exchange sends a request to a node and records the answer.
func (c *clients) exchange(node string, q request) answer {
	got := answer{node: node, sent: time.Now()}
	c.record.printf("client sends %s to %s", q.id, node)
	err := got.receive(node, q)
	got.took = time.Since(got.sent)
	if err != nil {
		got.status = 0
		c.record.printf("client got no complete answer to %s after %v: %v", q.id, got.took.Round(time.Millisecond), err)
	} else {
		c.record.printf("client got %d for %s after %v", got.status, q.id, got.took.Round(time.Millisecond))
	}
	c.journal.answered(q.id, got)
	return got
}

// receive sends a request on a new connection and reads the answer.
func (a *answer) receive(node string, q request) error {
	conn, err := net.DialTimeout("tcp", node, connectTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + answerSlack)) // An open socket accepts any deadline.
	var message bytes.Buffer
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.method != http.MethodGet {
		message.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	message.WriteString("\r\n")
	message.Write(q.body)
	if _, err := conn.Write(message.Bytes()); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	a.status, a.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	a.body, err = io.ReadAll(response.Body)
	return err
}
