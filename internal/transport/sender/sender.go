// Package sender runs attempts on targets over HTTP and classifies how they end.
package sender

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// Limits of the exchange with a target.
const (
	dialTimeout = time.Second
	idleTimeout = time.Minute
	maxAnswer   = 4 << 20
)

// Sender implements wigeonspindle.Sender with one connection pool per target.
type Sender struct {
	Clock wigeonspindle.Clock

	mutex sync.Mutex
	pools map[string]*http.Client
}

// Send runs the attempt and returns its outcome.
func (s *Sender) Send(ctx context.Context, target wigeonspindle.Target, attempt wigeonspindle.Attempt) wigeonspindle.Outcome {
	started := s.Clock.Now()
	outcome := wigeonspindle.Outcome{
		ID: attempt.ID, Query: attempt.Query, Target: attempt.Target, Shard: attempt.Shard,
		Snapshot: attempt.Snapshot, Generation: attempt.Generation,
	}
	remaining := attempt.Deadline.Sub(started)
	if remaining <= 0 {
		return fail(outcome, wigeonspindle.NotRun, wigeonspindle.CodeExpired, "the deadline has passed")
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	var touched atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes of the request may leave the host.
		GotConn: func(httptrace.GotConnInfo) { touched.Store(true) },
	})
	response, err := s.exchange(ctx, target, attempt, remaining)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		outcome = classify(outcome, response)
	} else {
		outcome = s.broken(ctx, outcome, touched.Load(), err)
	}
	outcome.Took = s.Clock.Now().Sub(started)
	return outcome
}

func (s *Sender) exchange(ctx context.Context, target wigeonspindle.Target, attempt wigeonspindle.Attempt, remaining time.Duration) (*http.Response, error) {
	url := "http://" + target.Address + "/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(attempt.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set(encoder.HeaderSnapshot, attempt.Snapshot)
	request.Header.Set(encoder.HeaderShard, attempt.Shard)
	request.Header.Set(encoder.HeaderTimeout, strconv.FormatFloat(float64(remaining)/float64(time.Millisecond), 'f', 3, 64))
	request.Header.Set(encoder.HeaderExpires, strconv.FormatInt(attempt.Deadline.UnixMilli(), 10))
	if attempt.Class == wigeonspindle.Once {
		request.Header.Set(encoder.HeaderIdentity, encoder.FormatIdentity(attempt.Identity))
	}
	return s.pool(target).Do(request)
}

func (s *Sender) pool(target wigeonspindle.Target) *http.Client {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.pools == nil {
		s.pools = make(map[string]*http.Client)
	}
	client := s.pools[target.Name]
	if client == nil {
		client = &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			// The owner uses at most half of the connections, so that those of the previous
			// owner fit beside its own.
			MaxConnsPerHost:     max(1, target.Connections/2),
			MaxIdleConnsPerHost: target.Slots,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}}
		s.pools[target.Name] = client
	}
	return client
}

// Close closes the idle connections of all targets.
func (s *Sender) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, client := range s.pools {
		client.CloseIdleConnections()
	}
	return nil
}

// classify turns a response into an outcome.
func classify(outcome wigeonspindle.Outcome, response *http.Response) wigeonspindle.Outcome {
	switch response.Header.Get(encoder.HeaderRefused) {
	case encoder.RefusedShed:
		return fail(outcome, wigeonspindle.NotRun, wigeonspindle.CodeShed, "the target shed the request")
	case encoder.RefusedSnapshot:
		return fail(outcome, wigeonspindle.NotRun, wigeonspindle.CodeNoSnapshot, "the target does not hold the snapshot")
	case encoder.RefusedDraining:
		return fail(outcome, wigeonspindle.NotRun, wigeonspindle.CodeLeaving, "the target is draining")
	case encoder.RefusedExpired:
		return fail(outcome, wigeonspindle.NotRun, wigeonspindle.CodeExpired, "the request expired before it started")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	switch {
	case err != nil:
		outcome.Crashed = true
		return fail(outcome, wigeonspindle.MayHaveRun, wigeonspindle.CodeBroken, err.Error())
	case len(body) > maxAnswer:
		return fail(outcome, wigeonspindle.Ran, wigeonspindle.CodeTooLarge, "the answer exceeds the limit")
	case response.StatusCode != http.StatusOK:
		message := fmt.Sprintf("the target answered with status %d", response.StatusCode)
		return fail(outcome, wigeonspindle.MayHaveRun, wigeonspindle.CodeFailed, message)
	}
	outcome.Verdict, outcome.Body = wigeonspindle.Ran, body
	outcome.Snapshot = response.Header.Get(encoder.HeaderSnapshot)
	return outcome
}

// broken classifies an exchange without a response.
func (s *Sender) broken(ctx context.Context, outcome wigeonspindle.Outcome, touched bool, err error) wigeonspindle.Outcome {
	verdict := wigeonspindle.NotRun
	if touched {
		verdict = wigeonspindle.MayHaveRun
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fail(outcome, verdict, wigeonspindle.CodeCancelled, "the attempt was cancelled")
	case errors.Is(err, context.DeadlineExceeded):
		return fail(outcome, verdict, wigeonspindle.CodeExpired, "the target did not answer in time")
	case touched:
		outcome.Crashed = true
		return fail(outcome, verdict, wigeonspindle.CodeBroken, err.Error())
	}
	return fail(outcome, verdict, wigeonspindle.CodeUnreachable, err.Error())
}

func fail(outcome wigeonspindle.Outcome, verdict wigeonspindle.Verdict, code wigeonspindle.Code, message string) wigeonspindle.Outcome {
	outcome.Verdict, outcome.Code, outcome.Message = verdict, code, message
	return outcome
}
