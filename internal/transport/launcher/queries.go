package launcher

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/coordinator"
	"wigeonspindle.example/wigeonspindle/internal/coordination/router"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// Bounds of the rings of a query loop.
const (
	queriesSize  = 4096
	outcomesSize = 4096
)

// tickPeriod is how often a query loop looks for queries whose timer has run out.
const tickPeriod = time.Millisecond

// queryLoop is the duty that coordinates queries. It alone owns their state.
type queryLoop struct {
	host     *Host
	index    uint64
	queries  *queuer.Ring[queryInput]
	outcomes *queuer.Ring[outcomeInput]

	counter uint64
	running map[uint64]*runningQuery
	picker  *router.Picker
}

// queryInput is a new query or, with Abandoned set, the ID of one whose caller left.
type queryInput struct {
	query     wigeonspindle.Query
	answer    chan<- wigeonspindle.Answer
	abandoned bool
}

// outcomeInput is a batch of outcomes or the news that a link to a host broke.
type outcomeInput struct {
	outcomes []wigeonspindle.Outcome
	down     string
}

type runningQuery struct {
	coordinator *coordinator.Coordinator
	answer      chan<- wigeonspindle.Answer
	sent        map[wigeonspindle.AttemptID]sentAttempt
}

type sentAttempt struct {
	attempt wigeonspindle.Attempt
	owner   string
}

func newQueryLoop(host *Host, index int) *queryLoop {
	return &queryLoop{
		host: host, index: uint64(index),
		queries:  queuer.New[queryInput](queriesSize),
		outcomes: queuer.New[outcomeInput](outcomesSize),
		running:  make(map[uint64]*runningQuery),
		picker:   &router.Picker{},
	}
}

// Query runs a query and waits for its answer. The answer always comes, at the latest
// shortly after the deadline, because the query loop ends every query at its deadline.
func (h *Host) Query(ctx context.Context, query wigeonspindle.Query) wigeonspindle.Answer {
	query.ID = h.nextQuery.Add(1)
	query.Fingerprint = xxhash.Sum64(append([]byte(query.Index+"\x00"), query.Body...))
	if query.Trace == "" {
		query.Trace = string(NewIncarnation())
	}
	loop := h.queries[query.ID%uint64(len(h.queries))]
	answer := make(chan wigeonspindle.Answer, 1)
	if !loop.queries.Offer(queryInput{query: query, answer: answer}) {
		return refused(query, wigeonspindle.CodeOverloaded, wigeonspindle.NotRun, "the host is saturated")
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		loop.queries.Offer(queryInput{query: query, abandoned: true})
		return refused(query, wigeonspindle.CodeCancelled, wigeonspindle.MayHaveRun, "the caller left")
	case <-h.stop:
		return refused(query, wigeonspindle.CodeLeaving, wigeonspindle.MayHaveRun, "the host stopped")
	}
}

func refused(query wigeonspindle.Query, code wigeonspindle.Code, verdict wigeonspindle.Verdict, message string) wigeonspindle.Answer {
	return wigeonspindle.Answer{
		ID: query.ID, Trace: query.Trace, Verdict: verdict,
		Refusal: &wigeonspindle.Refusal{Code: code, Verdict: verdict, Message: message},
	}
}

func (l *queryLoop) run() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-l.host.stop:
			return
		case input := <-l.queries.C():
			l.accept(input)
		case input := <-l.outcomes.C():
			l.take(input)
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *queryLoop) accept(input queryInput) {
	query := input.query
	if input.abandoned {
		l.abandon(query.ID)
		return
	}
	config := l.host.holder.Config()
	if config == nil {
		input.answer <- refused(query, wigeonspindle.CodeUnavailable, wigeonspindle.NotRun, "no configuration is known yet")
		return
	}
	for _, index := range config.Indexes {
		if index.Name != query.Index {
			continue
		}
		machine := &coordinator.Coordinator{Query: query, Index: l.host.placed(index), Picker: l.picker, NextID: l.nextID}
		l.running[query.ID] = &runningQuery{
			coordinator: machine, answer: input.answer, sent: make(map[wigeonspindle.AttemptID]sentAttempt),
		}
		l.act(query.ID, machine.Start(l.host.Clock.Now()))
		return
	}
	answer := refused(query, wigeonspindle.CodeInvalid, wigeonspindle.NotRun, "the index is unknown")
	answer.Refusal.Field = "index"
	input.answer <- answer
}

// nextID returns an attempt identity whose counter leads outcomes back to this loop.
func (l *queryLoop) nextID() wigeonspindle.AttemptID {
	l.counter += uint64(len(l.host.queries))
	return wigeonspindle.AttemptID{Entry: l.host.self.Incarnation, Counter: l.counter + l.index}
}

func (l *queryLoop) take(input outcomeInput) {
	for _, outcome := range input.outcomes {
		l.outcome(outcome)
	}
	if input.down == "" {
		return
	}
	for _, running := range l.running {
		for _, sent := range running.sent {
			if sent.owner == input.down {
				l.outcome(failed(sent.attempt, wigeonspindle.MayHaveRun, wigeonspindle.CodeBroken, "the link to the owner broke"))
			}
		}
	}
}

func (l *queryLoop) outcome(outcome wigeonspindle.Outcome) {
	running := l.running[outcome.Query]
	if running == nil {
		return
	}
	delete(running.sent, outcome.ID)
	l.act(outcome.Query, running.coordinator.Outcome(outcome, l.host.Clock.Now()))
}

func (l *queryLoop) tick() {
	now := l.host.Clock.Now()
	for id, running := range l.running {
		if !now.Before(running.coordinator.Wake()) {
			l.act(id, running.coordinator.Tick(now))
		}
	}
}

// act carries out the actions of a query. Attempts and cancels are batched per owner.
func (l *queryLoop) act(id uint64, actions []coordinator.Action) {
	running := l.running[id]
	attempts := make(map[string][]wigeonspindle.Attempt)
	cancels := make(map[string][]wigeonspindle.Cancel)
	var unsent []wigeonspindle.Outcome
	for _, action := range actions {
		switch {
		case action.Send != nil:
			owner, ok := l.host.ownership.Load().Owners[action.Send.Target]
			if !ok {
				unsent = append(unsent, failed(*action.Send, wigeonspindle.NotRun, wigeonspindle.CodeNotOwner, "the target has no owner"))
				continue
			}
			running.sent[action.Send.ID] = sentAttempt{attempt: *action.Send, owner: owner.Name}
			attempts[owner.Name] = append(attempts[owner.Name], *action.Send)
		case action.Cancel != nil:
			if sent, ok := running.sent[action.Cancel.ID]; ok {
				delete(running.sent, action.Cancel.ID)
				cancels[sent.owner] = append(cancels[sent.owner], *action.Cancel)
			}
		case action.Event != nil:
			l.host.recorder.Record(*action.Event)
		case action.Answer != nil:
			running.answer <- *action.Answer
		}
	}
	for owner, batch := range cancels {
		l.host.send(owner, wigeonspindle.Envelope{Cancels: batch})
	}
	for owner, batch := range attempts {
		if !l.host.send(owner, wigeonspindle.Envelope{Attempts: batch}) {
			unsent = append(unsent, unreachable(batch)...)
		}
	}
	if running.coordinator.Done() {
		delete(l.running, id)
		return
	}
	for _, outcome := range unsent {
		l.outcome(outcome)
	}
}

func (l *queryLoop) abandon(id uint64) {
	running := l.running[id]
	if running == nil {
		return
	}
	delete(l.running, id)
	cancels := make(map[string][]wigeonspindle.Cancel)
	for attempt, sent := range running.sent {
		cancels[sent.owner] = append(cancels[sent.owner], wigeonspindle.Cancel{ID: attempt, Target: sent.attempt.Target})
	}
	for owner, batch := range cancels {
		l.host.send(owner, wigeonspindle.Envelope{Cancels: batch})
	}
}

func unreachable(attempts []wigeonspindle.Attempt) []wigeonspindle.Outcome {
	outcomes := make([]wigeonspindle.Outcome, 0, len(attempts))
	for _, attempt := range attempts {
		outcomes = append(outcomes, failed(attempt, wigeonspindle.NotRun, wigeonspindle.CodeUnreachable, "the owner is not reachable"))
	}
	return outcomes
}

func failed(attempt wigeonspindle.Attempt, verdict wigeonspindle.Verdict, code wigeonspindle.Code, message string) wigeonspindle.Outcome {
	return wigeonspindle.Outcome{
		ID: attempt.ID, Query: attempt.Query, Target: attempt.Target, Shard: attempt.Shard, Snapshot: attempt.Snapshot,
		Generation: attempt.Generation, Verdict: verdict, Code: code, Message: message,
	}
}
