package launcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/admitter"
	"wigeonspindle.example/wigeonspindle/internal/coordination/coordinator"
	"wigeonspindle.example/wigeonspindle/internal/coordination/deduplicator"
	"wigeonspindle.example/wigeonspindle/internal/coordination/hedger"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
	"wigeonspindle.example/wigeonspindle/internal/coordination/router"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
	"wigeonspindle.example/wigeonspindle/internal/state/scheduler"
)

// Capacities of the rings and tables of a query loop.
const (
	queriesCapacity  = 4096
	outcomesCapacity = 4096
	maxBatch         = 64 // maxBatch bounds the inputs taken from each ring before a flush.
	// maxRunningShards bounds the shards of running queries. Each takes about 700 bytes, so
	// that a loop at the limit holds about 45 MB.
	maxRunningShards = 65536
	// maxIdentities allows 50 once requests per second at a lifetime of 10 minutes.
	maxIdentities    = 32768
	maxIdentityBytes = 64 << 20
	maxSuspects      = 1024
	minSuccesses     = 32768
	defaultRetention = 10 * time.Minute // defaultRetention is the default of Rules.Lifetime and Rules.Expiry.
	// hedgeBurst bounds the hedge tokens that a loop accumulates. With 100, tokens saved before
	// a period of stragglers raised the extra load over 8 s to 5.2% in one run of four; with 30
	// it was at most 4.6%.
	hedgeBurst = 30
	// hedgeReserve covers the stragglers of a query over 850 shards when 1 attempt in 100 is slow.
	hedgeReserve = 10
	retryRatio   = 0.1
	// retryBurst covers the attempts that fail together when the link to an owner breaks.
	retryBurst = 1000
)

// tickPeriod is the interval at which a target loop checks for expired attempts.
const tickPeriod = time.Millisecond

// queryLoop coordinates queries. Only its goroutine uses their state.
type queryLoop struct {
	host     *Host
	index    uint64
	queries  *queuer.Ring[queryInput]
	outcomes *queuer.Ring[outcomeInput]

	attemptCounter uint64
	running        map[uint64]*runningQuery
	timers         scheduler.Timers
	picker         *router.Picker
	placement      *wigeonspindle.Placement
	estimators     map[string]*hedger.Estimator
	hedgeBudget    *hedger.Budget
	retryBudget    *hedger.Budget
	admitter       *admitter.Admitter

	deduplicator *deduplicator.Deduplicator
	onceRequests map[wigeonspindle.Identity]*runningQuery // onceRequests holds those in progress.
	forwards     map[uint64]*pendingForward
	quarantiner  *quarantiner.Quarantiner

	// Messages queued until the next flush, by owner, and attempts that could not be sent.
	queuedAttempts map[string][]wigeonspindle.Attempt
	queuedCancels  map[string][]wigeonspindle.Cancel
	unsentOutcomes []wigeonspindle.Outcome
}

// respondFunc delivers an answer to its waiter. It must not block.
type respondFunc func(wigeonspindle.Answer)

// queryInput is a new query or, with abandoned set, one whose caller has disconnected.
type queryInput struct {
	query     wigeonspindle.Query
	respond   respondFunc
	abandoned bool
}

// outcomeInput is a batch of outcomes, the answer to a forwarded request, a suspicion, or the
// name of a host whose link broke or became ready.
type outcomeInput struct {
	outcomes  []wigeonspindle.Outcome
	forwarded *wigeonspindle.Forwarded
	suspicion *wigeonspindle.Suspicion
	linkDown  string
	linkUp    string
}

// runningQuery is a query in progress with the waiters for its answer.
type runningQuery struct {
	query       wigeonspindle.Query
	waiters     []waiter
	coordinator *coordinator.Coordinator
	estimator   *hedger.Estimator
	timer       *scheduler.Timer
	sent        map[uint64]sentAttempt // sent is keyed by the attempt's counter.
	shards      int                    // shards is the number that the admitter counts for the query.
}

// waiter is a caller that waits for a query in progress. A once request has one for each
// repeat.
type waiter struct {
	query   wigeonspindle.Query
	respond respondFunc
}

type sentAttempt struct {
	attempt *wigeonspindle.Attempt
	owner   string
}

func newQueryLoop(host *Host, index int) *queryLoop {
	seed := uint64(host.Clock.Now().UnixNano())
	loop := &queryLoop{
		host:           host,
		index:          uint64(index),
		queries:        queuer.New[queryInput](queriesCapacity),
		outcomes:       queuer.New[outcomeInput](outcomesCapacity),
		running:        make(map[uint64]*runningQuery),
		picker:         &router.Picker{Domain: host.self.Domain, Rand: rand.New(rand.NewPCG(seed, uint64(index)))},
		estimators:     make(map[string]*hedger.Estimator),
		hedgeBudget:    &hedger.Budget{Burst: hedgeBurst, Reserve: hedgeReserve},
		retryBudget:    &hedger.Budget{Ratio: retryRatio, Burst: retryBurst},
		admitter:       &admitter.Admitter{MaxShards: maxRunningShards, MinSamples: hedger.MinSamples},
		deduplicator:   &deduplicator.Deduplicator{Incarnation: host.self.Incarnation, MaxEntries: maxIdentities, MaxBytes: maxIdentityBytes},
		onceRequests:   make(map[wigeonspindle.Identity]*runningQuery),
		forwards:       make(map[uint64]*pendingForward),
		quarantiner:    &quarantiner.Quarantiner{MaxSuspects: maxSuspects, MinSuccesses: minSuccesses},
		queuedAttempts: make(map[string][]wigeonspindle.Attempt),
		queuedCancels:  make(map[string][]wigeonspindle.Cancel),
	}
	loop.retryBudget.Fill()
	return loop
}

// Query runs a query and waits for its answer. It returns shortly after the deadline at the
// latest, because the query loop ends every query at its deadline.
func (h *Host) Query(ctx context.Context, query wigeonspindle.Query) wigeonspindle.Answer {
	query.ID = h.queryCounter.Add(1)
	query.Fingerprint = fingerprint(query)
	if query.Trace == "" {
		query.Trace = string(NewIncarnation())
	}
	answer := h.awaitAnswer(ctx, query)
	if answer.Refusal != nil {
		h.Meter.CountRefusal(query.Index, answer.Refusal.Code)
	} else {
		h.Meter.ObserveAnswer(query.Index, answer.Verdict, answer.Coverage, h.Clock.Now().Sub(query.Arrived))
	}
	return answer
}

func (h *Host) awaitAnswer(ctx context.Context, query wigeonspindle.Query) wigeonspindle.Answer {
	loop := h.queryLoop(query)
	answer := make(chan wigeonspindle.Answer, 1)
	input := queryInput{query: query, respond: func(a wigeonspindle.Answer) { answer <- a }}
	if !loop.offerQuery(ctx, input) {
		h.Meter.CountDrop("queries")
		return refusalAnswer(query, wigeonspindle.CodeOverloaded, unseenVerdict(query), "the host is saturated")
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		if !loop.queries.Offer(queryInput{query: query, abandoned: true}) {
			h.Meter.CountDrop("queries") // The query continues until its deadline.
		}
		return refusalAnswer(query, wigeonspindle.CodeCancelled, wigeonspindle.MayHaveRun, "the caller left")
	case <-h.stop:
		return refusalAnswer(query, wigeonspindle.CodeLeaving, wigeonspindle.MayHaveRun, "the host stopped")
	}
}

// offerQuery passes a query to the loop. A once request waits until its deadline for room in the
// ring, because without the identity table a refusal cannot state that it was not run.
func (l *queryLoop) offerQuery(ctx context.Context, input queryInput) bool {
	if l.queries.Offer(input) {
		return true
	}
	if input.query.Class != wigeonspindle.ClassOnce {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, input.query.Deadline.Sub(l.host.Clock.Now()))
	defer cancel()
	go func() {
		select {
		case <-l.host.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.queries.Put(input, ctx.Done())
}

// queryLoop returns the loop of a query. All repeats of a once request use the same loop.
func (h *Host) queryLoop(query wigeonspindle.Query) *queryLoop {
	if query.Class == wigeonspindle.ClassOnce {
		return h.queries[xxhash.Sum64String(query.Identity.Nonce)%uint64(len(h.queries))]
	}
	return h.queries[query.ID%uint64(len(h.queries))]
}

// fingerprint hashes the index and the body of a query.
func fingerprint(query wigeonspindle.Query) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(query.Index + "\x00") // Writing to a digest never fails.
	_, _ = digest.Write(query.Body)
	return digest.Sum64()
}

// unseenVerdict returns the verdict on a query that did not reach its query loop. A once request
// may repeat one that ran, which only the identity table of the loop shows.
func unseenVerdict(query wigeonspindle.Query) wigeonspindle.Verdict {
	if query.Class == wigeonspindle.ClassOnce {
		return wigeonspindle.MayHaveRun
	}
	return wigeonspindle.NotRun
}

func refusalAnswer(query wigeonspindle.Query, code wigeonspindle.Code, verdict wigeonspindle.Verdict, message string) wigeonspindle.Answer {
	return wigeonspindle.Answer{
		ID: query.ID, Trace: query.Trace, Verdict: verdict,
		Refusal: &wigeonspindle.Refusal{Code: code, Verdict: verdict, Message: message},
	}
}

// run handles inputs in batches. The attempts of a batch for one owner go in one message.
func (l *queryLoop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	queries, outcomes := make([]queryInput, 0, maxBatch), make([]outcomeInput, 0, maxBatch)
	for {
		select {
		case <-l.host.stop:
			return
		case input := <-l.queries.C():
			l.handleQueryInput(input)
		case input := <-l.outcomes.C():
			l.handleOutcomeInput(input)
		case <-timer.C:
		}
		for _, input := range l.outcomes.Drain(outcomes) {
			l.handleOutcomeInput(input)
		}
		for _, input := range l.queries.Drain(queries) {
			l.handleQueryInput(input)
		}
		l.timers.RunDue(l.host.Clock.Now())
		l.flush()
		timer.Reset(l.timers.UntilNext(l.host.Clock.Now()))
	}
}

func (l *queryLoop) handleQueryInput(input queryInput) {
	query := input.query
	switch {
	case input.abandoned:
		// A once request continues, so that a repeat gets its recorded answer.
		if running := l.running[query.ID]; running != nil && query.Class != wigeonspindle.ClassOnce {
			l.execute(running, running.coordinator.Stop(wigeonspindle.CodeCancelled, "the caller left", l.host.Clock.Now()))
		}
	case query.Class == wigeonspindle.ClassOnce:
		l.handleOnceRequest(input)
	default:
		l.startQuery(&runningQuery{query: query, waiters: []waiter{{query, input.respond}}})
	}
}

// startQuery starts a query, or refuses it with verdict NotRun.
func (l *queryLoop) startQuery(running *runningQuery) {
	refusal := l.admit(running)
	if refusal == nil {
		l.running[running.query.ID] = running
		running.timer = l.timers.Add(running.query.Deadline, func(now time.Time) { l.handleTimer(running, now) })
		l.host.recorder.Record(wigeonspindle.Event{Kind: wigeonspindle.EventAdmitted, Trace: running.query.Trace, Detail: running.query.Index})
		l.execute(running, running.coordinator.Start(l.host.Clock.Now()))
		return
	}
	answer := refusalAnswer(running.query, refusal.Code, refusal.Verdict, refusal.Message)
	answer.Refusal = refusal
	l.host.recorder.Record(wigeonspindle.Event{
		Kind: wigeonspindle.EventRefused, Trace: running.query.Trace, Verdict: refusal.Verdict.String(), Detail: string(refusal.Code),
	})
	l.finishQuery(running, answer)
}

// admit creates the coordinator of a query, or refuses the query with verdict NotRun.
func (l *queryLoop) admit(running *runningQuery) *wigeonspindle.Refusal {
	query, now := running.query, l.host.Clock.Now()
	if l.host.refusing.Load() {
		refusal := notRunRefusal(wigeonspindle.CodeLeaving, "", "the host has stopped serving callers")
		refusal.Addresses = l.host.addresses(l.host.self.Domain)
		return refusal
	}
	config := l.refreshConfig()
	if config == nil {
		return notRunRefusal(wigeonspindle.CodeUnavailable, "", "no configuration is known yet")
	}
	var index *wigeonspindle.Index
	for i := range config.Indexes {
		if config.Indexes[i].Name == query.Index {
			index = &config.Indexes[i]
		}
	}
	if index == nil || len(index.Snapshots) == 0 {
		return notRunRefusal(wigeonspindle.CodeInvalid, "index", "the index is unknown")
	}
	if l.quarantiner.State(query.Fingerprint, now) == quarantiner.Quarantined {
		return notRunRefusal(wigeonspindle.CodeQuarantined, "", "the request has crashed targets")
	}
	estimator := l.estimators[index.Name]
	shards := len(query.Shards)
	if shards == 0 {
		shards = len(index.Snapshots[len(index.Snapshots)-1].Shards)
	}
	if refusal := l.admitter.Admit(query, shards, estimator.Estimate(now), now); refusal != nil {
		return refusal
	}
	running.shards, running.estimator = shards, estimator
	running.sent = make(map[uint64]sentAttempt, shards)
	running.coordinator = &coordinator.Coordinator{
		Query: query, Index: index, Picker: l.picker, Policy: hedger.NewPolicy(index.Preference, config.Rules), Estimator: estimator,
		HedgeBudget: l.hedgeBudget, RetryBudget: l.retryBudget, NextAttemptID: l.nextAttemptID,
		Canary: config.Rules.Canary && !l.quarantiner.RecentlySucceeded(query.Fingerprint),
		IsSuspect: func() bool {
			return l.quarantiner.State(query.Fingerprint, l.host.Clock.Now()) != quarantiner.Clear
		},
	}
	return nil
}

func notRunRefusal(code wigeonspindle.Code, field, message string) *wigeonspindle.Refusal {
	return &wigeonspindle.Refusal{Code: code, Verdict: wigeonspindle.NotRun, Field: field, Message: message}
}

// refreshConfig applies a changed configuration or placement to the loop. It returns the
// configuration in force, or nil before the first one arrived.
func (l *queryLoop) refreshConfig() *wigeonspindle.Config {
	config, placement := l.host.holder.Config(), l.host.placement.Load()
	if config == nil || config == l.picker.Config() && placement == l.placement {
		return config
	}
	l.placement = placement
	l.picker.Configure(config, placement)
	l.hedgeBudget.Ratio = config.Rules.Extra
	estimators := make(map[string]*hedger.Estimator, len(config.Indexes))
	for _, index := range config.Indexes {
		estimators[index.Name] = l.estimators[index.Name]
		if estimators[index.Name] == nil {
			estimators[index.Name] = &hedger.Estimator{}
		}
	}
	l.estimators = estimators
	return config
}

// rules returns the configured rules, with defaults for unset durations.
func (l *queryLoop) rules() wigeonspindle.Rules {
	var rules wigeonspindle.Rules
	if config := l.host.holder.Config(); config != nil {
		rules = config.Rules
	}
	rules.Lifetime = cmp.Or(rules.Lifetime, wigeonspindle.Duration(defaultRetention))
	rules.Expiry = cmp.Or(rules.Expiry, wigeonspindle.Duration(defaultRetention))
	return rules
}

// nextAttemptID returns an attempt ID whose counter, modulo the number of query loops, is the
// index of this loop, so that outcomes are routed back to it.
func (l *queryLoop) nextAttemptID() wigeonspindle.AttemptID {
	l.attemptCounter += uint64(len(l.host.queries))
	return wigeonspindle.AttemptID{EntryHost: l.host.self.Incarnation, Counter: l.attemptCounter + l.index}
}
