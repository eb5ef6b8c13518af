// Package gatherer decides how one call is served: which replicas get it, when a send is
// repeated or hedged, when parts that are missing are no longer waited for, and what the
// caller is told. It holds no sockets and no clock: each method takes the time and returns
// what to do, so that any order of events can be replayed.
package gatherer

import (
	"math"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/budgeter"
	"wigeonspindle.example/wigeonspindle/internal/coordination/merger"
	"wigeonspindle.example/wigeonspindle/internal/coordination/selector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/throttler"
)

// Constants of the decisions.
const (
	// replyMargin and replyShare are the time, and the share of the objective, kept for the
	// way to the host, for merging the parts and for the way back. Callers of a lightly
	// loaded host measure 6 to 8 ms more than the host does.
	replyMargin = 8 * time.Millisecond
	replyShare  = 0.03
	// patienceMargin is the time kept for the way back before the caller stops waiting.
	patienceMargin = 5 * time.Millisecond
	// hedgeFactor is the age, in median times, at which a send counts as late. Times of
	// sound replicas rarely exceed it, pauses and slow replicas do.
	hedgeFactor = 2.2
	// hedgeFloor is the least age of a send that counts as late.
	hedgeFloor = 3 * time.Millisecond
	// hedgeFill is the used part of the budget from which only failed sends are repeated.
	hedgeFill = 0.85
	// hedgePressure is the pressure of a pool from which a hedge would only take the place of
	// another call.
	hedgePressure = 0.4
	// lateShare is the part of the objective from which an answer counts as close to late.
	lateShare = 0.6
	// closeStrain is the strain of an answer that was close to late.
	closeStrain = 0.4
	// guessShare is the share of the objective that stands for the median time until
	// answers have been seen.
	guessShare = 0.2
	// retryPause is the time until a shard whose replicas all refused is tried again; it
	// doubles each time.
	retryPause = 5 * time.Millisecond
	// maxSends bounds the sends for one part.
	maxSends = 5
	// retryAfter is when a caller may come again when no replica is usable, or an overload is
	// to pass; retrySpread is added at random, so that refused callers do not return together.
	retryAfter  = 300 * time.Millisecond
	retrySpread = 300 * time.Millisecond
)

// Send is one send to a replica.
type Send struct {
	Part     int
	Number   int // Number counts the sends of the part.
	Kind     wigeonspindle.SendKind
	Replica  *wigeonspindle.Replica
	At       time.Time
	Expected time.Duration
}

// Step is what to do next for a call.
type Step struct {
	Sends []Send
	// Reply is set once, when the call is decided. Sends in flight still finish.
	Reply *wigeonspindle.CallReply
	// Wake is when Tick is due; zero when nothing is to come.
	Wake time.Time
}

// Gatherer starts the calls of a host. It is used by one goroutine.
type Gatherer struct {
	Selector  *selector.Selector
	Budget    *budgeter.Budgeter
	Throttler *throttler.Throttler

	estimates map[string]wigeonspindle.Estimator
	// NewEstimator returns an empty estimator.
	NewEstimator func() wigeonspindle.Estimator
	splits       map[string]*split
}

// Gather is the state of one call.
type Gather struct {
	Call  *wigeonspindle.Call
	Route *wigeonspindle.Route
	World *wigeonspindle.World
	// Soft is when an answer with the parts that are in is sent if they suffice.
	Soft time.Time
	// Hard is when the call ends.
	Hard time.Time

	gatherer *Gatherer
	parts    []part
	need     int
	done     int
	failed   int
	ran      bool // ran reports that a replica may have run the call.
	decided  bool
	next     time.Time // next is when Tick is due; it may be earlier than anything is to be done.
	Hedges   int
	Retries  int
	Skipped  int // Skipped counts the parts that were not asked for.
}

type part struct {
	pool     string
	response *wigeonspindle.Response // response is the accepted answer.
	failure  *wigeonspindle.Response // failure is a replica's own failure.
	tried    []string
	inflight []Send
	sends    int
	arrivals int // arrivals counts the sends that may have reached a replica.
	runs     int // runs counts the replicas that may have run the call.
	refusals int
	retry    time.Time // retry is when a part whose replicas refused is tried again.
	failed   bool
	shed     bool // shed reports that the last failure was a refusal by a replica.
}

// Start begins a call of a route.
func (g *Gatherer) Start(call *wigeonspindle.Call, route *wigeonspindle.Route, world *wigeonspindle.World, now time.Time) (*Gather, Step) {
	gather := &Gather{Call: call, Route: route, World: world, gatherer: g}
	gather.Hard = call.Arrived.Add(route.Timeout)
	if call.Patience > 0 && call.Patience-patienceMargin < route.Timeout {
		gather.Hard = call.Arrived.Add(call.Patience - patienceMargin)
	}
	pools := route.Shards
	if len(pools) == 0 {
		pools = []string{g.choose(route)}
	}
	gather.need = 1
	gather.Soft = gather.Hard
	if len(route.Shards) > 0 {
		margin := replyMargin + time.Duration(replyShare*float64(route.Aim))
		gather.Soft = call.Arrived.Add(max(route.Aim-margin, route.Aim/2))
		gather.need = max(int(math.Ceil(route.Coverage*float64(len(pools))-1e-9)), 1)
	}
	gather.parts = make([]part, len(pools))
	for i, pool := range pools {
		gather.parts[i].pool = pool
		g.Budget.Call(pool, now)
	}
	if !gather.servable(now) {
		gather.decided = true
		return gather, Step{Reply: gather.refuse(wigeonspindle.CodeUnavailable, "too few shards have a usable replica")}
	}
	if len(route.Shards) > 0 && !g.Throttler.Admit(pools, len(pools)-gather.need, now) {
		gather.decided = true
		return gather, Step{Reply: gather.refuse(wigeonspindle.CodeOverloaded, "the shards have more to do than they can")}
	}
	var step Step
	if len(route.Shards) > 0 {
		for _, i := range g.Throttler.Skip(pools, len(pools)-gather.need, now) {
			gather.fail(&gather.parts[i])
			gather.Skipped++
		}
	}
	for i := range gather.parts {
		if gather.parts[i].failed {
			continue
		}
		gather.try(i, wigeonspindle.SendFirst, now, &step)
	}
	gather.next = gather.wake(now)
	gather.settle(now, &step)
	return gather, step
}

// Finished takes the result of a send.
func (g *Gather) Finished(sent Send, exchange wigeonspindle.Exchange, now time.Time) Step {
	var step Step
	p := &g.parts[sent.Part]
	p.remove(sent.Number)
	estimator := g.gatherer.estimator(g.Route)
	g.gatherer.Selector.Finished(sent.Replica, sent.At, sent.Expected, exchange, now)
	g.gatherer.Throttler.Observe(p.pool, g.strain(exchange), now)
	if exchange.Response != nil && exchange.Response.Success() {
		estimator.Observe(exchange.Took, now)
	}
	if g.decided {
		return step
	}
	if exchange.Verdict != wigeonspindle.NotRun {
		p.runs++
		g.ran = true
	}
	if exchange.Sent {
		p.arrivals++
	}
	switch {
	case p.response != nil || p.failed:
		// Another send has decided the part.
	case exchange.Response != nil && exchange.Response.Success():
		p.response = exchange.Response
		g.done++
	default:
		p.shed = exchange.Verdict == wigeonspindle.NotRun && exchange.Sent
		if exchange.Response != nil && !exchange.Response.Refused {
			p.failure = exchange.Response
		}
		g.repeat(sent.Part, now, &step)
		g.next = g.wakeOf(p, g.next, now)
	}
	g.settle(now, &step)
	return step
}

// Tick makes what is due: hedges, repeated sends, the end of the call.
func (g *Gather) Tick(now time.Time) Step {
	var step Step
	if g.decided {
		return step
	}
	for i := range g.parts {
		p := &g.parts[i]
		if p.response != nil || p.failed {
			continue
		}
		if !p.retry.IsZero() && !now.Before(p.retry) {
			p.retry = time.Time{}
			p.tried = p.tried[:0]
			g.try(i, wigeonspindle.SendRetry, now, &step)
		}
		if at := g.hedgeAt(p, now); !at.IsZero() && !now.Before(at) {
			g.try(i, wigeonspindle.SendHedge, now, &step)
		}
	}
	g.next = g.wake(now)
	g.settle(now, &step)
	return step
}

// Cancel ends a call whose caller has left.
func (g *Gather) Cancel() { g.decided = true }

// Decided reports whether the call has its answer or was cancelled.
func (g *Gather) Decided() bool { return g.decided }

// Coverage returns how many parts are in, and how many there are.
func (g *Gather) Coverage() (in, total int) { return g.done, len(g.parts) }

// Arrivals returns the number of sends that may have reached a replica.
func (g *Gather) Arrivals() int {
	arrivals := 0
	for i := range g.parts {
		arrivals += g.parts[i].sends
	}
	return arrivals
}

// servable reports whether enough parts have a usable replica.
func (g *Gather) servable(now time.Time) bool {
	usable := 0
	expected := g.expected(now)
	for i := range g.parts {
		if g.gatherer.Selector.Usable(g.World, g.parts[i].pool, expected, now) {
			usable++
		}
	}
	return usable >= g.need
}

// try sends a part to a replica. A part that has no replica and no send in flight has
// failed, unless its replicas only refused and may be asked again.
func (g *Gather) try(index int, kind wigeonspindle.SendKind, now time.Time, step *Step) {
	p := &g.parts[index]
	expected := g.expected(now)
	replica, ok := g.gatherer.Selector.Pick(g.World, p.pool, p.tried, expected, now)
	if ok && p.sends > 0 && (p.arrivals > 0 || len(p.inflight) > 0) {
		ok = p.sends < maxSends && g.gatherer.Budget.Take(p.pool, len(g.World.Serving), now)
	}
	if !ok {
		if kind == wigeonspindle.SendHedge {
			p.refusals = maxSends // The part is not hedged again.
			return
		}
		if len(p.inflight) == 0 && p.retry.IsZero() {
			g.fail(p)
		}
		return
	}
	send := Send{Part: index, Number: p.sends, Kind: kind, Replica: replica, At: now, Expected: expected}
	p.sends++
	p.tried = append(p.tried, replica.ID)
	p.inflight = append(p.inflight, send)
	g.gatherer.Selector.Sent(g.World, replica, now)
	switch kind {
	case wigeonspindle.SendHedge:
		g.Hedges++
	case wigeonspindle.SendRetry:
		g.Retries++
	}
	step.Sends = append(step.Sends, send)
}

// repeat decides what follows a failed send of a part.
func (g *Gather) repeat(index int, now time.Time, step *Step) {
	p := &g.parts[index]
	if p.runs > 0 && (g.Route.Class == wigeonspindle.Once || p.runs >= g.Route.Attempts) {
		if len(p.inflight) == 0 {
			g.fail(p)
		}
		return
	}
	if p.runs+len(p.inflight) >= g.Route.Attempts {
		return // The sends in flight use up the attempts.
	}
	if p.shed && p.sends < maxSends && len(p.inflight) == 0 && g.exhausted(p, now) {
		pause := retryPause << p.refusals
		p.refusals++
		if now.Add(pause).Before(g.Soft) {
			p.retry = now.Add(pause)
			return
		}
	}
	g.try(index, wigeonspindle.SendRetry, now, step)
}

// strain returns how a send went, from 0 for an answer in time to 1 for a refusal.
func (g *Gather) strain(exchange wigeonspindle.Exchange) float64 {
	refused := exchange.Code == wigeonspindle.CodeOverloaded || exchange.Response != nil && exchange.Response.Refused
	switch {
	case refused || exchange.Response != nil && exchange.Took > g.Route.Aim:
		return 1
	case exchange.Took > time.Duration(lateShare*float64(g.Route.Aim)):
		return closeStrain
	}
	return 0
}

// exhausted reports whether all usable replicas of a part have been tried.
func (g *Gather) exhausted(p *part, now time.Time) bool {
	_, ok := g.gatherer.Selector.Pick(g.World, p.pool, p.tried, g.expected(now), now)
	return !ok
}

func (g *Gather) fail(p *part) {
	p.failed = true
	g.failed++
}

// settle answers the call if it is decided, and otherwise sets the time of the next tick.
func (g *Gather) settle(now time.Time, step *Step) {
	if g.decided {
		return
	}
	open := len(g.parts) - g.done - g.failed
	enough := g.done >= g.need && (open == 0 || !now.Before(g.Soft))
	hopeless := g.done+open < g.need
	if !enough && !hopeless && now.Before(g.Hard) {
		step.Wake = g.next
		return
	}
	g.decided = true
	for _, send := range step.Sends {
		g.Withdraw(send)
	}
	step.Sends = nil
	switch {
	case enough:
		step.Reply = g.answer()
	case hopeless:
		step.Reply = g.failure()
	default:
		step.Reply = g.refuse(wigeonspindle.CodeExpired, "the deadline has passed")
	}
}

// Withdraw takes back a send that was not made, because the call was decided before.
func (g *Gather) Withdraw(send Send) {
	g.parts[send.Part].remove(send.Number)
	g.gatherer.Selector.Withdraw(send.Replica.ID, send.At)
}

// wake returns the time of the next decision. It looks at all parts, so that it is not for
// each result: a call over 850 shards spent 84 ms in it then.
func (g *Gather) wake(now time.Time) time.Time {
	wake := g.Hard
	if now.Before(g.Soft) {
		wake = earlier(wake, g.Soft)
	}
	for i := range g.parts {
		wake = g.wakeOf(&g.parts[i], wake, now)
	}
	return wake
}

// wakeOf returns the time of the next decision about a part, or wake if that is earlier.
func (g *Gather) wakeOf(p *part, wake, now time.Time) time.Time {
	if p.response != nil || p.failed {
		return wake
	}
	return earlier(earlier(wake, p.retry), g.hedgeAt(p, now))
}

// hedgeAt returns when a part is sent to a second replica, or zero.
func (g *Gather) hedgeAt(p *part, now time.Time) time.Time {
	if g.Route.Class == wigeonspindle.Once || len(p.inflight) != 1 || p.refusals >= maxSends ||
		p.runs+1 >= g.Route.Attempts {
		return time.Time{}
	}
	if g.gatherer.Budget.Fill(p.pool, len(g.World.Serving), now) >= hedgeFill ||
		g.gatherer.Throttler.Pressure(p.pool, now) >= hedgePressure {
		return time.Time{}
	}
	delay := max(time.Duration(hedgeFactor*float64(g.expected(now))), hedgeFloor)
	return p.inflight[0].At.Add(delay)
}

// answer returns the success of a call.
func (g *Gather) answer() *wigeonspindle.CallReply {
	if len(g.Route.Shards) == 0 {
		return &wigeonspindle.CallReply{Response: g.parts[0].response}
	}
	responses := make([]*wigeonspindle.Response, 0, g.done)
	for i := range g.parts {
		if g.parts[i].response != nil {
			responses = append(responses, g.parts[i].response)
		}
	}
	return &wigeonspindle.CallReply{Merged: merger.Merge(responses, len(g.parts)-g.done, g.Route.Top)}
}

// failure returns the answer to a call that cannot succeed. A replica's own failure is
// passed on.
func (g *Gather) failure() *wigeonspindle.CallReply {
	if len(g.Route.Shards) == 0 && g.parts[0].failure != nil {
		return &wigeonspindle.CallReply{Response: g.parts[0].failure}
	}
	if g.parts[0].shed && !g.ran {
		return g.refuse(wigeonspindle.CodeShed, "the replicas refused the call")
	}
	return g.refuse(wigeonspindle.CodeUnavailable, "too few shards have answered")
}

// refuse returns a refusal whose verdict says whether a replica may have run the call.
func (g *Gather) refuse(code wigeonspindle.Code, message string) *wigeonspindle.CallReply {
	verdict := wigeonspindle.NotRun
	if g.ran {
		verdict = wigeonspindle.MayHaveRun
	}
	for i := range g.parts {
		if len(g.parts[i].inflight) > 0 {
			verdict = wigeonspindle.MayHaveRun
		}
	}
	reply := &wigeonspindle.CallReply{Refusal: &wigeonspindle.Refusal{Code: code, Verdict: verdict, Message: message}}
	if verdict == wigeonspindle.NotRun {
		reply.RetryAfter = retryAfter + time.Duration(g.gatherer.Selector.Random.Int64N(int64(retrySpread)))
	}
	return reply
}

// expected returns the median time of a send of the call.
func (g *Gather) expected(now time.Time) time.Duration {
	estimate := g.gatherer.estimator(g.Route).Estimate(now)
	if estimate.Count == 0 {
		return time.Duration(guessShare * float64(g.Route.Aim))
	}
	return max(estimate.P50, time.Millisecond)
}

func (g *Gatherer) estimator(route *wigeonspindle.Route) wigeonspindle.Estimator {
	if g.estimates == nil {
		g.estimates = make(map[string]wigeonspindle.Estimator)
	}
	estimator, ok := g.estimates[route.Name]
	if !ok {
		estimator = g.NewEstimator()
		g.estimates[route.Name] = estimator
	}
	return estimator
}

// Keep drops what was learned about routes, pools and replicas that are gone.
func (g *Gatherer) Keep(world *wigeonspindle.World) {
	if world.Catalog == nil {
		return
	}
	routes := make(map[string]bool, len(world.Catalog.Routes))
	for i := range world.Catalog.Routes {
		routes[world.Catalog.Routes[i].Name] = true
	}
	for name := range g.estimates {
		if !routes[name] {
			delete(g.estimates, name)
		}
	}
	for name := range g.splits {
		if !routes[name] {
			delete(g.splits, name)
		}
	}
	used := func(pool string) bool { _, ok := world.Catalog.Pools[pool]; return ok }
	g.Budget.Keep(used)
	g.Throttler.Keep(used)
	g.Selector.Keep(world)
}

func (p *part) remove(number int) {
	for i := range p.inflight {
		if p.inflight[i].Number == number {
			p.inflight = append(p.inflight[:i], p.inflight[i+1:]...)
			return
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
