// Package coordinator runs one query over the shards of a pinned snapshot. It is a state
// machine: inputs carry the time, and every method returns the actions to take.
package coordinator

import (
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Action is one thing that the caller of the state machine must do. Exactly one field is
// set.
type Action struct {
	Send   *wigeonspindle.Attempt
	Cancel *wigeonspindle.Cancel
	Answer *wigeonspindle.Answer
	Event  *wigeonspindle.Event
}

// Picker chooses a target for a shard, leaving out those already tried. It reports false
// when no replica is left.
type Picker interface {
	Pick(index wigeonspindle.Index, snapshot, shard string, tried []string) (wigeonspindle.Target, bool)
}

// Coordinator holds the state of one query.
type Coordinator struct {
	Query  wigeonspindle.Query
	Index  wigeonspindle.Index
	Picker Picker
	// NextID returns an attempt identity that is never repeated.
	NextID func() wigeonspindle.AttemptID

	snapshot wigeonspindle.Snapshot
	shards   map[string]*shard
	order    []string
	answered int
	attempts int
	done     bool
}

// shard is the state of one shard of the query.
type shard struct {
	tried   []string
	running map[wigeonspindle.AttemptID]string
	result  *wigeonspindle.Result
	failed  bool
	verdict wigeonspindle.Verdict
}

// Start pins a snapshot and returns the first attempts.
func (c *Coordinator) Start(now time.Time) []Action {
	pinned := false
	for _, snapshot := range c.Index.Snapshots {
		if !snapshot.Withdrawn {
			c.snapshot, pinned = snapshot, true
		}
	}
	if !pinned {
		return c.refuse(wigeonspindle.CodeUnavailable, "the index has no snapshot in service")
	}
	c.order = c.snapshot.Shards
	if len(c.Query.Shards) > 0 {
		c.order = c.Query.Shards
	}
	c.shards = make(map[string]*shard, len(c.order))
	var actions []Action
	for _, name := range c.order {
		c.shards[name] = &shard{running: make(map[wigeonspindle.AttemptID]string), verdict: wigeonspindle.NotRun}
		actions = append(actions, c.send(name)...)
	}
	return append(actions, c.finish(now)...)
}

// Outcome takes the outcome of an attempt.
func (c *Coordinator) Outcome(outcome wigeonspindle.Outcome, now time.Time) []Action {
	state := c.shards[outcome.Shard]
	if c.done || state == nil || outcome.Snapshot != c.snapshot.Version || state.result != nil {
		return nil
	}
	if _, ok := state.running[outcome.ID]; !ok {
		return nil
	}
	delete(state.running, outcome.ID)
	if outcome.Verdict != wigeonspindle.NotRun {
		state.verdict = wigeonspindle.MayHaveRun
	}
	var actions []Action
	switch {
	case outcome.Answered():
		state.result = &wigeonspindle.Result{Shard: outcome.Shard, Body: outcome.Body}
		state.verdict = wigeonspindle.Ran
		c.answered++
	case outcome.Verdict == wigeonspindle.NotRun || c.Query.Class == wigeonspindle.Idempotent:
		actions = c.send(outcome.Shard)
	default:
		state.failed = true
	}
	return append(actions, c.finish(now)...)
}

// Tick handles the passing of time.
func (c *Coordinator) Tick(now time.Time) []Action {
	if c.done {
		return nil
	}
	return c.finish(now)
}

// Wake returns when Tick must be called next.
func (c *Coordinator) Wake() time.Time { return c.Query.Deadline }

// Done reports whether the answer was given.
func (c *Coordinator) Done() bool { return c.done }

func (c *Coordinator) send(name string) []Action {
	state := c.shards[name]
	target, ok := c.Picker.Pick(c.Index, c.snapshot.Version, name, state.tried)
	if !ok {
		state.failed = len(state.running) == 0
		return nil
	}
	attempt := wigeonspindle.Attempt{
		ID: c.NextID(), Query: c.Query.ID, Trace: c.Query.Trace, Target: target.Name, Index: c.Index.Name, Shard: name,
		Snapshot: c.snapshot.Version, Class: c.Query.Class, Identity: c.Query.Identity, Body: c.Query.Body,
		Deadline: c.Query.Deadline, Fingerprint: c.Query.Fingerprint,
	}
	state.tried = append(state.tried, target.Name)
	state.running[attempt.ID] = target.Name
	c.attempts++
	return []Action{{Send: &attempt}}
}

// finish gives the answer when no shard is open or the deadline has passed.
func (c *Coordinator) finish(now time.Time) []Action {
	open := 0
	for _, state := range c.shards {
		if state.result == nil && !state.failed {
			open++
		}
	}
	if open > 0 && now.Before(c.Query.Deadline) {
		return nil
	}
	c.done = true
	answer := wigeonspindle.Answer{
		ID: c.Query.ID, Trace: c.Query.Trace, Snapshot: c.snapshot.Version, Verdict: wigeonspindle.Ran,
		Coverage: wigeonspindle.Coverage{Answered: c.answered, Total: len(c.order)}, Attempts: c.attempts,
	}
	var actions []Action
	for _, name := range c.order {
		state := c.shards[name]
		for id, target := range state.running {
			actions = append(actions, Action{Cancel: &wigeonspindle.Cancel{ID: id, Target: target}})
			state.verdict = max(state.verdict, wigeonspindle.MayHaveRun)
		}
		if state.result != nil {
			answer.Results = append(answer.Results, *state.result)
			continue
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, name)
		if state.verdict != wigeonspindle.NotRun {
			answer.Verdict = wigeonspindle.MayHaveRun
		}
	}
	if c.answered == 0 {
		answer.Verdict = worst(c.shards)
		answer.Refusal = &wigeonspindle.Refusal{
			Code: wigeonspindle.CodeUnavailable, Verdict: answer.Verdict, Message: "no shard answered before the deadline",
		}
	}
	return append(actions, Action{Answer: &answer})
}

func worst(shards map[string]*shard) wigeonspindle.Verdict {
	verdict := wigeonspindle.NotRun
	for _, state := range shards {
		verdict = max(verdict, state.verdict)
	}
	return verdict
}

func (c *Coordinator) refuse(code wigeonspindle.Code, message string) []Action {
	c.done = true
	return []Action{{Answer: &wigeonspindle.Answer{
		ID: c.Query.ID, Trace: c.Query.Trace, Verdict: wigeonspindle.NotRun,
		Refusal: &wigeonspindle.Refusal{Code: code, Verdict: wigeonspindle.NotRun, Message: message},
	}}}
}
