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
	// maxLatencySamples is the number of recent answers whose latencies are kept.
	maxLatencySamples = 64
	// A connection without an answer is checked for silence after silenceTimeoutFactor times
	// the slowest recent answer, but not before minSilenceTimeout.
	silenceTimeoutFactor = 4
	minSilenceTimeout    = 50 * time.Millisecond
)

// pool holds the connections to one target.
type pool struct {
	target  wigeonspindle.Target
	limiter *connectionLimiter
	client  *http.Client
	// probeClient opens a new connection for each probe, because a probe on a silent
	// connection would not show that the target answers.
	probeClient *http.Client

	mutex             sync.Mutex
	latencies         []time.Duration
	oldestLatency     int
	lastAnsweredStart time.Time // lastAnsweredStart is the latest start time of an answered exchange.
}

func newPool(target wigeonspindle.Target, limiter *connectionLimiter, clock wigeonspindle.Clock) *pool {
	dialLimited := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dial(ctx, clock, limiter, network, address)
	}
	return &pool{
		target: target, limiter: limiter,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialLimited, MaxConnsPerHost: max(1, ownerConnections(target)-1), MaxIdleConnsPerHost: target.Slots,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		}},
		probeClient: &http.Client{Transport: &http.Transport{DialContext: dialLimited, DisableKeepAlives: true, MaxConnsPerHost: 1}},
	}
}

// ownerConnections returns the number of connections that the owner may use: half of the
// target's limit, because the previous owner may still hold as many.
func ownerConnections(target wigeonspindle.Target) int { return max(1, target.Connections/2) }

// matches reports whether the pool still fits the configuration of its target.
func (p *pool) matches(target wigeonspindle.Target) bool {
	return p.target.Address == target.Address && p.target.Connections == target.Connections && p.target.Slots == target.Slots
}

func (p *pool) closeIdle() {
	p.client.CloseIdleConnections()
	p.probeClient.CloseIdleConnections()
}

// recordAnswer records the start and the latency of an answered exchange.
func (p *pool) recordAnswer(started time.Time, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if started.After(p.lastAnsweredStart) {
		p.lastAnsweredStart = started
	}
	if len(p.latencies) < maxLatencySamples {
		p.latencies = append(p.latencies, took)
		return
	}
	p.latencies[p.oldestLatency] = took
	p.oldestLatency = (p.oldestLatency + 1) % maxLatencySamples
}

// answeredSince reports whether the target answered an exchange that started later than the
// given time.
func (p *pool) answeredSince(started time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lastAnsweredStart.After(started)
}

// silenceTimeout returns how long an exchange may wait for an answer before its connection is
// checked. It reports false before the first answer. The timeout follows the slowest recent
// answer, so that a straggler is not mistaken for a silent connection.
func (p *pool) silenceTimeout() (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.latencies) == 0 {
		return 0, false
	}
	return max(minSilenceTimeout, silenceTimeoutFactor*slices.Max(p.latencies)), true
}
