package gatherer

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/merger"
)

// successReply returns the reply to a call that has enough parts.
func (c *CallState) successReply() *wigeonspindle.CallReply {
	if len(c.Route.Shards) == 0 {
		return &wigeonspindle.CallReply{Response: c.parts[0].response}
	}
	responses := make([]*wigeonspindle.Response, 0, c.answeredParts)
	for i := range c.parts {
		if c.parts[i].response != nil {
			responses = append(responses, c.parts[i].response)
		}
	}
	return &wigeonspindle.CallReply{Merged: merger.Merge(responses, len(c.parts)-c.answeredParts, c.Route.Top)}
}

// failureReply returns the reply to a call that cannot succeed. A failure that a replica signed
// is passed on.
func (c *CallState) failureReply(now time.Time) *wigeonspindle.CallReply {
	if len(c.Route.Shards) == 0 && c.parts[0].failure != nil {
		return &wigeonspindle.CallReply{Response: c.parts[0].failure}
	}
	if c.parts[0].lastRefused && !c.mayHaveRun {
		return c.refusalReply(wigeonspindle.CodeShed, "the replicas refused the call", now)
	}
	return c.refusalReply(wigeonspindle.CodeUnavailable, "too few shards have answered", now)
}

// refusalReply returns a refusal. Its verdict tells whether a replica may have run the call.
func (c *CallState) refusalReply(code wigeonspindle.Code, message string, now time.Time) *wigeonspindle.CallReply {
	verdict := wigeonspindle.NotRun
	if c.mayHaveRun {
		verdict = wigeonspindle.MayHaveRun
	}
	for i := range c.parts {
		if len(c.parts[i].inFlight) > 0 {
			verdict = wigeonspindle.MayHaveRun
		}
	}
	reply := &wigeonspindle.CallReply{Refusal: &wigeonspindle.Refusal{Code: code, Verdict: verdict, Message: message}}
	if verdict == wigeonspindle.NotRun {
		reply.RetryAfter = c.retryAfter(now)
	}
	return reply
}

// retryAfter returns when a refused caller should retry: when enough replicas take calls again, but
// not before minRetryAfter. The callers that are refused meanwhile return spread over some time, which
// is longer if more of them gather.
func (c *CallState) retryAfter(now time.Time) time.Duration {
	wait := max(c.timeUntilAvailable(now), minRetryAfter)
	spread := max(retryAfterJitter, time.Duration(retryAfterSpread*float64(wait)))
	return wait + time.Duration(c.gatherer.Selector.Random.Int64N(int64(spread)))
}

// timeUntilAvailable returns the time until enough parts have a replica that may take the call; 0 if it is
// not known.
func (c *CallState) timeUntilAvailable(now time.Time) time.Duration {
	var waits []time.Duration
	for i := range c.parts {
		if at, ok := c.gatherer.Selector.AvailableAt(c.gatherer.Deployment, c.parts[i].pool, now); ok {
			waits = append(waits, at.Sub(now))
		}
	}
	if len(waits) < max(c.requiredParts, 1) {
		return 0
	}
	slices.Sort(waits)
	return waits[c.requiredParts-1]
}
