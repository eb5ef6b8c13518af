// Package sender sends attempts to targets over HTTP and classifies their outcomes.
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Limits of an exchange with a target.
const (
	dialTimeout    = time.Second
	idleTimeout    = time.Minute
	probeTimeout   = time.Second
	maxAnswerBytes = 4 << 20
	maxReportBytes = 64 << 10
)

// Sender implements wigeonspindle.Sender, Prober and Preconnector with one connection pool
// per target.
type Sender struct {
	Clock wigeonspindle.Clock

	mutex         sync.Mutex
	pools         map[string]*pool
	silenceChecks sync.WaitGroup
}

// Send sends the attempt to the target and returns its outcome.
func (s *Sender) Send(ctx context.Context, target wigeonspindle.Target, attempt wigeonspindle.Attempt) wigeonspindle.Outcome {
	started := s.Clock.Now()
	outcome := wigeonspindle.Outcome{
		ID: attempt.ID, Query: attempt.Query, Target: attempt.Target, Shard: attempt.Shard,
		Snapshot: attempt.Snapshot, Generation: attempt.Generation,
	}
	remaining := attempt.Deadline.Sub(started)
	if remaining <= 0 {
		return withFailure(outcome, wigeonspindle.NotRun, wigeonspindle.CodeExpired, "the deadline has passed")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	exchange := &exchange{sender: s, pool: s.pool(target), started: started, deadline: attempt.Deadline}
	ctx, stop := exchange.watchSilence(ctx, attempt.Class == wigeonspindle.ClassIdempotent)
	defer stop()
	outcome = exchange.run(ctx, outcome, attempt, remaining)
	outcome.Took = s.Clock.Now().Sub(started)
	if outcome.Verdict == wigeonspindle.Ran {
		exchange.pool.recordAnswer(started, outcome.Took)
	}
	return outcome
}

// Probe asks a target for its load report on a new connection.
func (s *Sender) Probe(ctx context.Context, target wigeonspindle.Target) (wigeonspindle.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pool := s.pool(target)
	client := pool.probeClient
	if ownerConnections(target) < 2 {
		client = pool.client
	}
	return s.fetchLoad(ctx, client, target)
}

// Preconnect opens one connection for each slot, as far as the connection limit allows, by
// concurrent load requests.
func (s *Sender) Preconnect(ctx context.Context, target wigeonspindle.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pool := s.pool(target)
	var opening sync.WaitGroup
	for range min(target.Slots, ownerConnections(target)-1) {
		opening.Go(func() { _, _ = s.fetchLoad(ctx, pool.client, target) })
	}
	opening.Wait()
}

func (s *Sender) fetchLoad(ctx context.Context, client *http.Client, target wigeonspindle.Target) (wigeonspindle.LoadReport, error) {
	var report wigeonspindle.LoadReport
	exchange := &exchange{sender: s, deadline: s.Clock.Now().Add(probeTimeout)}
	request, err := http.NewRequestWithContext(exchange.trackConnections(ctx), http.MethodGet, "http://"+target.Address+"/load", nil)
	if err != nil {
		return report, errors.Wrap(err, "build load request")
	}
	response, err := client.Do(request)
	if err != nil {
		return report, errors.Wrapf(err, "load of target %s", target.Name)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, errors.Newf("load of target %s: status %d", target.Name, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return report, errors.Wrapf(err, "load of target %s", target.Name)
	}
	// Unknown fields are allowed, because targets may report more than this version knows.
	return report, errors.Wrapf(json.Unmarshal(data, &report), "load of target %s", target.Name)
}

// CloseIdle closes the idle connections to a target.
func (s *Sender) CloseIdle(target string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if pool := s.pools[target]; pool != nil {
		pool.closeIdle()
	}
}

// Close waits for the checks for silent connections to end and closes the idle connections to
// all targets.
func (s *Sender) Close() error {
	s.silenceChecks.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, pool := range s.pools {
		pool.closeIdle()
	}
	return nil
}

// pool returns the connection pool of a target. A changed target gets a new pool with the same
// connection limiter, while exchanges in flight finish in the old one.
func (s *Sender) pool(target wigeonspindle.Target) *pool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.pools == nil {
		s.pools = make(map[string]*pool)
	}
	known := s.pools[target.Name]
	if known != nil && known.matches(target) {
		return known
	}
	limiter := &connectionLimiter{}
	if known != nil {
		known.closeIdle()
		limiter = known.limiter
	}
	limiter.setLimit(ownerConnections(target))
	s.pools[target.Name] = newPool(target, limiter, s.Clock)
	return s.pools[target.Name]
}

// buildRequest returns the HTTP request of an attempt.
func buildRequest(ctx context.Context, target wigeonspindle.Target, attempt wigeonspindle.Attempt, remaining time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/run", bytes.NewReader(attempt.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set(encoder.HeaderSnapshot, attempt.Snapshot)
	request.Header.Set(encoder.HeaderShard, attempt.Shard)
	// The margin makes the target stop before the owner gives the slot to another attempt.
	remaining = max(0, remaining-wigeonspindle.HopMargin)
	request.Header.Set(encoder.HeaderTimeout, strconv.FormatFloat(float64(remaining)/float64(time.Millisecond), 'f', 3, 64))
	request.Header.Set(encoder.HeaderExpires, strconv.FormatInt(attempt.Deadline.UnixMilli(), 10))
	if attempt.Class == wigeonspindle.ClassOnce {
		request.Header.Set(encoder.HeaderIdentity, encoder.FormatIdentity(attempt.Identity))
	}
	return request, nil
}

func withFailure(outcome wigeonspindle.Outcome, verdict wigeonspindle.Verdict, code wigeonspindle.Code, message string) wigeonspindle.Outcome {
	outcome.Verdict, outcome.Code, outcome.Message = verdict, code, message
	return outcome
}

// refusals maps the reasons for which a target refuses a request before running it.
var refusals = map[string]struct {
	code    wigeonspindle.Code
	message string
}{
	encoder.RefusedShed:     {wigeonspindle.CodeShed, "the target shed the request"},
	encoder.RefusedSnapshot: {wigeonspindle.CodeNoSnapshot, "the target does not hold the snapshot"},
	encoder.RefusedDraining: {wigeonspindle.CodeLeaving, "the target is draining"},
	encoder.RefusedExpired:  {wigeonspindle.CodeExpired, "the request expired before it started"},
}

// statusMessage describes a response with an unexpected status.
func statusMessage(status int) string {
	return fmt.Sprintf("the target answered with status %d", status)
}
