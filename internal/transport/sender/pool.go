package sender

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// samplesKept is the number of answers from which the expected time is taken.
	samplesKept = 64
	// silenceFactor and silenceFloor give the time after which a connection without an
	// answer is examined.
	silenceFactor = 4
	silenceFloor  = 50 * time.Millisecond
)

// pool holds the connections to one target.
type pool struct {
	target wigeonspindle.Target
	budget *budget
	client *http.Client
	// probes opens a new connection for each probe, so that a silent one cannot hide that
	// the target answers.
	probes *http.Client

	mutex    sync.Mutex
	answers  []time.Duration
	oldest   int
	answered time.Time // answered is the latest start of an exchange that was answered.
}

func newPool(target wigeonspindle.Target, limit *budget, clock wigeonspindle.Clock) *pool {
	open := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dial(ctx, clock, limit, network, address)
	}
	return &pool{
		target: target, budget: limit,
		client: &http.Client{Transport: &http.Transport{
			DialContext: open, MaxConnsPerHost: max(1, half(target)-1), MaxIdleConnsPerHost: target.Slots,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		}},
		probes: &http.Client{Transport: &http.Transport{DialContext: open, DisableKeepAlives: true, MaxConnsPerHost: 1}},
	}
}

// half returns the connections that the owner may use, so that those of the previous owner
// fit beside them.
func half(target wigeonspindle.Target) int { return max(1, target.Connections/2) }

// same reports whether the pool still suits the configuration of its target.
func (p *pool) same(target wigeonspindle.Target) bool {
	return p.target.Address == target.Address && p.target.Connections == target.Connections && p.target.Slots == target.Slots
}

func (p *pool) close() {
	p.client.CloseIdleConnections()
	p.probes.CloseIdleConnections()
}

// answer notes an exchange that the target answered.
func (p *pool) answer(started time.Time, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if started.After(p.answered) {
		p.answered = started
	}
	if len(p.answers) < samplesKept {
		p.answers = append(p.answers, took)
		return
	}
	p.answers[p.oldest] = took
	p.oldest = (p.oldest + 1) % samplesKept
}

// answeredSince reports whether the target answered an exchange that began after a time.
func (p *pool) answeredSince(started time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.answered.After(started)
}

// patience returns how long an exchange may stay without an answer before its connection is
// examined. The slowest recent answer counts, so that a straggler is not taken for silence.
func (p *pool) patience() (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.answers) == 0 {
		return 0, false
	}
	return max(silenceFloor, silenceFactor*slices.Max(p.answers)), true
}
