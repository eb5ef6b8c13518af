package coordinator

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// finishIfDue ends the query when no shard is open, at the soft deadline if a shard answered, or
// at the deadline.
func (c *Coordinator) finishIfDue(now time.Time) {
	late := !now.Before(c.Query.Deadline)
	enough := c.answeredShards > 0 && !now.Before(c.softDeadline)
	if c.done || c.openShards > 0 && !late && !enough {
		return
	}
	c.finish(now, false)
}

// finish cancels the attempts in flight and returns the answer. The answer of a stopped query has
// no results, so that its refusal and its coverage agree.
func (c *Coordinator) finish(now time.Time, stopped bool) {
	c.done = true
	for i := range c.shards {
		c.cancelAttempts(i, now, !stopped)
	}
	answer := &wigeonspindle.Answer{
		ID: c.Query.ID, Trace: c.Query.Trace, Verdict: wigeonspindle.Ran, Attempts: c.attemptCount, Hedges: c.hedgeCount,
	}
	if c.snapshot != nil {
		answer.Snapshot = c.snapshot.Version
	}
	c.fillCoverage(answer, stopped)
	if c.answeredShards == 0 || stopped {
		answer.Verdict = c.verdict
		answer.Refusal = c.buildRefusal(now)
	}
	c.recordEvent(wigeonspindle.EventAnswered, "", "", answer.Verdict, answer.Snapshot)
	c.actions = append(c.actions, Action{Answer: answer})
}

// fillCoverage sets the results and the coverage, which counts exactly these results.
func (c *Coordinator) fillCoverage(answer *wigeonspindle.Answer, stopped bool) {
	answer.Coverage.Total = len(c.shards)
	if c.answeredShards > 0 && !stopped {
		answer.Results = make([]wigeonspindle.ShardResult, 0, c.answeredShards)
	}
	for i := range c.shards {
		s := &c.shards[i]
		if s.answered && !stopped {
			answer.Results = append(answer.Results, wigeonspindle.ShardResult{Shard: s.name, Body: s.body})
			continue
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, s.name)
		if s.verdict != wigeonspindle.NotRun {
			answer.Verdict = wigeonspindle.MayHaveRun
		}
	}
	answer.Coverage.Answered = len(answer.Results)
}

// buildRefusal returns the refusal of a query that was stopped or that no shard answered. Its
// verdict covers every attempt of the query, including those on the snapshot that a restart
// abandoned.
func (c *Coordinator) buildRefusal(now time.Time) *wigeonspindle.Refusal {
	refusal := &wigeonspindle.Refusal{Code: c.lastFailure.Code, Verdict: c.verdict, Message: c.lastFailure.Message}
	if !now.Before(c.Query.Deadline) {
		refusal.Code = wigeonspindle.CodeExpired
		if refusal.Message == "" {
			refusal.Message = "no shard answered before the deadline"
		}
	}
	if refusal.Code == "" {
		refusal.Code, refusal.Message = wigeonspindle.CodeUnavailable, "no shard answered"
	}
	return refusal
}

// refuse ends a query that has not sent any attempt.
func (c *Coordinator) refuse(code wigeonspindle.Code, field, message string) []Action {
	c.done = true
	c.recordEvent(wigeonspindle.EventRefused, "", "", wigeonspindle.NotRun, string(code))
	c.actions = append(c.actions, Action{Answer: &wigeonspindle.Answer{
		ID: c.Query.ID, Trace: c.Query.Trace, Verdict: wigeonspindle.NotRun,
		Refusal: &wigeonspindle.Refusal{Code: code, Verdict: wigeonspindle.NotRun, Field: field, Message: message},
	}})
	return c.takeActions()
}
