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

var errSilent = errors.New("the connection is silent")

// exchange is one request to a target and its answer.
type exchange struct {
	sender   *Sender
	pool     *pool
	started  time.Time
	deadline time.Time

	mutex   sync.Mutex
	conn    *connection
	touched bool // touched reports bytes written on connections before the present one.
}

// trace makes every connection that the request uses count its bytes. The HTTP transport
// takes another connection when one turns out to be closed before anything was written.
func (e *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*connection)
		if !ok {
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.conn != nil {
			e.touched = e.conn.seal() || e.touched
		}
		e.conn = conn
		conn.begin(e.deadline)
	}})
}

func (e *exchange) run(ctx context.Context, outcome wigeonspindle.Outcome, attempt wigeonspindle.Attempt, remaining time.Duration) wigeonspindle.Outcome {
	request, err := build(e.trace(ctx), e.pool.target, attempt, remaining)
	if err != nil {
		return fail(outcome, wigeonspindle.NotRun, wigeonspindle.CodeInvalid, err.Error())
	}
	response, err := e.pool.client.Do(request)
	if err != nil {
		return e.broken(ctx, outcome, err)
	}
	defer func() { _ = response.Body.Close() }()
	return e.classify(ctx, outcome, response)
}

// classify turns a response into an outcome.
func (e *exchange) classify(ctx context.Context, outcome wigeonspindle.Outcome, response *http.Response) wigeonspindle.Outcome {
	if refused, ok := refusals[response.Header.Get(encoder.HeaderRefused)]; ok {
		return fail(outcome, wigeonspindle.NotRun, refused.code, refused.message)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	// The answer belongs to the snapshot that the target names, whatever was asked for.
	outcome.Snapshot = response.Header.Get(encoder.HeaderSnapshot)
	switch {
	case err != nil:
		return e.broken(ctx, outcome, err)
	case len(body) > maxAnswer:
		return fail(outcome, wigeonspindle.Ran, wigeonspindle.CodeTooLarge, "the answer exceeds the limit")
	case response.StatusCode != http.StatusOK:
		return fail(outcome, wigeonspindle.MayHaveRun, wigeonspindle.CodeFailed, statusFailure(response.StatusCode))
	}
	outcome.Verdict, outcome.Body = wigeonspindle.Ran, body
	return outcome
}

// broken classifies an exchange without a complete answer. The request was not run when no
// byte of it was written, which is certain only after its connection was sealed.
func (e *exchange) broken(ctx context.Context, outcome wigeonspindle.Outcome, err error) wigeonspindle.Outcome {
	e.mutex.Lock()
	conn, touched := e.conn, e.touched
	e.mutex.Unlock()
	if conn != nil {
		touched = conn.seal() || touched
	}
	verdict := wigeonspindle.NotRun
	if touched {
		verdict = wigeonspindle.MayHaveRun
	}
	silent := conn != nil && conn.silent()
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return fail(outcome, verdict, wigeonspindle.CodeSilent, "the connection is silent while the target answers on others")
	case errors.Is(ctx.Err(), context.Canceled):
		return fail(outcome, verdict, wigeonspindle.CodeCancelled, "the attempt was cancelled")
	case errors.Is(err, context.DeadlineExceeded) && silent && touched && e.pool.answeredSince(e.started):
		return fail(outcome, verdict, wigeonspindle.CodeSilent, "the connection was silent until the deadline")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errLate):
		return fail(outcome, verdict, wigeonspindle.CodeExpired, "the target did not answer in time")
	case errors.Is(err, errFull):
		return fail(outcome, verdict, wigeonspindle.CodeOverloaded, errFull.Error())
	case touched:
		outcome.Crashed = true
		return fail(outcome, verdict, wigeonspindle.CodeBroken, err.Error())
	}
	return fail(outcome, verdict, wigeonspindle.CodeUnreachable, err.Error())
}

// watch examines the connection when the answer is late. An idempotent attempt on a silent
// connection ends at once, so that it can be sent again. Any other one waits for its
// deadline, because its outcome would be unknown.
func (e *exchange) watch(ctx context.Context, idempotent bool) (context.Context, func()) {
	patience, ok := e.pool.patience()
	if !ok || !idempotent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	e.sender.waiting.Add(1)
	timer := time.AfterFunc(patience, func() {
		defer e.sender.waiting.Done()
		if e.quiet() && (e.pool.answeredSince(e.started) || e.answers(ctx)) && e.quiet() {
			cancel(errSilent)
			// Connections opened together tend to go silent together.
			e.pool.client.CloseIdleConnections()
		}
	})
	return ctx, func() {
		if timer.Stop() {
			e.sender.waiting.Done()
		}
		cancel(nil)
	}
}

// quiet reports whether the request has a connection that received nothing.
func (e *exchange) quiet() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn != nil && e.conn.silent()
}

// answers reports whether the target answers a probe on a new connection.
func (e *exchange) answers(ctx context.Context) bool {
	_, err := e.sender.Probe(ctx, e.pool.target)
	return err == nil
}
