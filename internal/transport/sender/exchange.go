package sender

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

var errSilent = errors.New("the connection received nothing")

// exchange is one request to a target and its answer.
type exchange struct {
	sender   *Sender
	pool     *pool
	started  time.Time
	deadline time.Time

	mutex          sync.Mutex
	conn           *connection
	requestWritten bool // requestWritten reports that bytes were written on an earlier connection.
}

// trackConnections makes each connection that the request uses count its bytes. The HTTP
// transport switches to another connection if the first one turns out to be closed before
// anything was written.
func (e *exchange) trackConnections(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*connection)
		if !ok {
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.conn != nil {
			e.requestWritten = e.conn.abort() || e.requestWritten
		}
		e.conn = conn
		conn.beginExchange(e.deadline)
	}})
}

func (e *exchange) run(ctx context.Context, outcome wigeonspindle.Outcome, attempt wigeonspindle.Attempt, remaining time.Duration) wigeonspindle.Outcome {
	request, err := buildRequest(e.trackConnections(ctx), e.pool.target, attempt, remaining)
	if err != nil {
		return withFailure(outcome, wigeonspindle.NotRun, wigeonspindle.CodeInvalid, err.Error())
	}
	response, err := e.pool.client.Do(request)
	if err != nil {
		return e.classifyFailure(ctx, outcome, err)
	}
	defer func() { _ = response.Body.Close() }()
	return e.classifyResponse(ctx, outcome, response)
}

// classifyResponse converts a response to an outcome.
func (e *exchange) classifyResponse(ctx context.Context, outcome wigeonspindle.Outcome, response *http.Response) wigeonspindle.Outcome {
	if refusal, ok := refusals[response.Header.Get(encoder.HeaderRefused)]; ok {
		return withFailure(outcome, wigeonspindle.NotRun, refusal.code, refusal.message)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	// The answer belongs to the snapshot that the target names, even if another was requested.
	outcome.Snapshot = response.Header.Get(encoder.HeaderSnapshot)
	switch {
	case err != nil:
		return e.classifyFailure(ctx, outcome, err)
	case len(body) > maxAnswerBytes:
		return withFailure(outcome, wigeonspindle.Ran, wigeonspindle.CodeTooLarge, "the answer exceeds the limit")
	case response.StatusCode != http.StatusOK:
		return withFailure(outcome, wigeonspindle.MayHaveRun, wigeonspindle.CodeFailed, statusMessage(response.StatusCode))
	}
	outcome.Verdict, outcome.Body = wigeonspindle.Ran, body
	return outcome
}

// classifyFailure returns the outcome of an exchange without a complete answer. The request
// was not run if none of its bytes was written, which is certain only after its connection
// was aborted.
func (e *exchange) classifyFailure(ctx context.Context, outcome wigeonspindle.Outcome, err error) wigeonspindle.Outcome {
	e.mutex.Lock()
	conn, requestWritten := e.conn, e.requestWritten
	e.mutex.Unlock()
	if conn != nil {
		requestWritten = conn.abort() || requestWritten
	}
	verdict := wigeonspindle.NotRun
	if requestWritten {
		verdict = wigeonspindle.MayHaveRun
	}
	silent := conn != nil && conn.silent()
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return withFailure(outcome, verdict, wigeonspindle.CodeSilent, "the connection is silent while the target answers on others")
	case errors.Is(ctx.Err(), context.Canceled):
		return withFailure(outcome, verdict, wigeonspindle.CodeCancelled, "the attempt was cancelled")
	case errors.Is(err, context.DeadlineExceeded) && silent && requestWritten && e.pool.answeredSince(e.started):
		return withFailure(outcome, verdict, wigeonspindle.CodeSilent, "the connection was silent until the deadline")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errDeadlinePassed):
		return withFailure(outcome, verdict, wigeonspindle.CodeExpired, "the target did not answer in time")
	case errors.Is(err, errConnectionLimit):
		return withFailure(outcome, verdict, wigeonspindle.CodeOverloaded, errConnectionLimit.Error())
	case requestWritten:
		outcome.Crashed = true
		return withFailure(outcome, verdict, wigeonspindle.CodeBroken, err.Error())
	}
	return withFailure(outcome, verdict, wigeonspindle.CodeUnreachable, err.Error())
}

// watchSilence checks the connection of an idempotent attempt when the answer is late. The
// attempt is cancelled if its connection is silent while the target answers on others, so
// that it can be retried. Other attempts wait for their deadline, because their outcome would
// be unknown.
func (e *exchange) watchSilence(ctx context.Context, idempotent bool) (context.Context, func()) {
	silenceTimeout, ok := e.pool.silenceTimeout()
	if !ok || !idempotent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	e.sender.silenceChecks.Add(1)
	timer := time.AfterFunc(silenceTimeout, func() {
		defer e.sender.silenceChecks.Done()
		if e.connectionSilent() && (e.pool.answeredSince(e.started) || e.targetAnswers(ctx)) && e.connectionSilent() {
			cancel(errSilent)
			// Connections opened at the same time tend to go silent at the same time.
			e.pool.client.CloseIdleConnections()
		}
	})
	return ctx, func() {
		if timer.Stop() {
			e.sender.silenceChecks.Done()
		}
		cancel(nil)
	}
}

// connectionSilent reports whether the request has a connection that has received nothing.
func (e *exchange) connectionSilent() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn != nil && e.conn.silent()
}

// targetAnswers reports whether the target answers a probe on a new connection.
func (e *exchange) targetAnswers(ctx context.Context) bool {
	_, err := e.sender.Probe(ctx, e.pool.target)
	return err == nil
}
