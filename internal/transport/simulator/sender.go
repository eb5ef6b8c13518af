package simulator

import (
	"cmp"
	"context"
	"sync"

	"wigeonspindle.example/wigeonspindle"
)

// Script modifies the outcome of an attempt and may block. It must return when ctx is done.
type Script func(ctx context.Context, attempt wigeonspindle.Attempt, outcome *wigeonspindle.Outcome)

// ScriptedSender is a wigeonspindle.Sender without network connections. A Script acts as all
// targets.
type ScriptedSender struct {
	mutex  sync.Mutex
	script Script
	runs   map[string]int // runs is keyed by the nonce of a once request, otherwise by the body.
}

// SetScript sets the script for new attempts; nil makes the targets answer immediately.
func (s *ScriptedSender) SetScript(script Script) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.script = script
}

// Runs returns how often the request with a nonce, or without one with a body, may have run.
func (s *ScriptedSender) Runs(key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[key]
}

// Send runs an attempt. The run is counted at its start, because the run may outlive the host
// that sent it.
func (s *ScriptedSender) Send(ctx context.Context, target wigeonspindle.Target, attempt wigeonspindle.Attempt) wigeonspindle.Outcome {
	outcome := wigeonspindle.Outcome{
		ID: attempt.ID, Query: attempt.Query, Target: target.Name, Shard: attempt.Shard, Snapshot: attempt.Snapshot,
		Generation: attempt.Generation, Verdict: wigeonspindle.Ran, Body: []byte(attempt.Shard),
	}
	key := cmp.Or(attempt.Identity.Nonce, string(attempt.Body))
	script := s.addRuns(key, 1)
	if script != nil {
		deadlineCtx, cancel := context.WithDeadline(ctx, attempt.Deadline)
		defer cancel()
		script(deadlineCtx, attempt, &outcome)
	}
	if outcome.Verdict == wigeonspindle.NotRun {
		s.addRuns(key, -1)
	}
	return outcome
}

func (s *ScriptedSender) addRuns(key string, runs int) Script {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[key] += runs
	return s.script
}
