// Package gatherer implements the scatter-gather decisions of a call: which replicas it is sent
// to, when a send is retried or hedged, when missing parts are no longer waited for, and how the
// caller is answered. It holds no sockets and no clock: each method takes the time and returns
// what to do, so that any order of events can be replayed.
package gatherer

import (
	"maps"
	"math"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/budgeter"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
	"wigeonspindle.example/wigeonspindle/internal/coordination/selector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/throttler"
)

// Parameters of the decisions.
const (
	// defaultRoundTrip is used when the round trip time to a caller is not known.
	defaultRoundTrip = 2 * time.Millisecond
	// replyOverhead and replyOverheadFraction are the time, and the fraction of the latency
	// objective, reserved for accepting the call, merging the parts and sending the reply. With
	// 0.27 of a core, the median latency that callers measure is 3 ms above the time that the
	// host and the network take.
	replyOverhead         = 5 * time.Millisecond
	replyOverheadFraction = 0.03
	// maxWaitedFraction is the fraction of the latency objective below which the time that a
	// caller has already waited shortens the soft deadline. Callers that retry after a refusal
	// have waited longer.
	maxWaitedFraction = 0.5
	// callerTimeoutMargin is the time before the caller's time-out that is reserved for the same
	// work as replyOverhead.
	callerTimeoutMargin = 3 * time.Millisecond
	// hedgeLatencyFactor is the age of a send, as a multiple of the median latency, at which it
	// is hedged. Healthy replicas rarely take longer; paused and slow replicas do.
	hedgeLatencyFactor = 2.2
	// minHedgeDelay is the lower bound of the age at which a send is hedged.
	minHedgeDelay = 3 * time.Millisecond
	// maxHedgeBudgetUse is the used fraction of the budget from which there are no hedges, so
	// that the rest is left for retries of failed sends.
	maxHedgeBudgetUse = 0.85
	// maxHedgePressure is the pressure of a pool from which there are no hedges, because each
	// would only displace another call.
	maxHedgePressure = 0.4
	// nearLateFraction is the fraction of the latency objective from which an answer counts as
	// nearly late.
	nearLateFraction = 0.6
	// nearLateSignal is the overload signal of a nearly late answer.
	nearLateSignal = 0.4
	// initialLatencyFraction is the fraction of the latency objective that is used as the median
	// latency until there are samples.
	initialLatencyFraction = 0.2
	// initialRetryDelay is the time until a part whose replicas all refused is sent again. It
	// doubles with each retry.
	initialRetryDelay = 5 * time.Millisecond
	// maxSendsPerPart lets the retries of a refused part extend over about half a second.
	maxSendsPerPart = 8
	// serialRetryThreshold is the number of broken connections from which a call without any
	// answer retries one part at a time, so that a call that crashes replicas does not also
	// crash the second replica of every shard.
	serialRetryThreshold = 2
	// standbySlackDivisor divides the slack of a budget for the standby hosts: together they use
	// this many times less of it than the serving hosts. They get few calls but are numerous.
	standbySlackDivisor = 4
	// minCrashCheckDelay is the lower bound of the time for which a call that may crash replicas
	// waits after a broken connection: about a round trip, in which a crashed replica refuses another
	// connection.
	minCrashCheckDelay = 2 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller should retry, so that an
	// overload can pass or a replica can become usable first. A random part of retryAfterJitter
	// is added, so that refused callers do not all retry at once.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 300 * time.Millisecond
	// retryAfterSpread is the least random part, as a fraction of the time until replicas take calls
	// again: the callers that are refused during that time return over a part of it.
	retryAfterSpread = 0.25
	// leavingRetryAfter is when a caller that a stopping host refused should retry: other hosts can
	// take the call at once.
	leavingRetryAfter = 10 * time.Millisecond
)

// Send is one send of a part to a replica.
type Send struct {
	PartIndex       int
	Number          int // Number is the position of the send among those of the part.
	Kind            wigeonspindle.SendKind
	Replica         *wigeonspindle.Replica
	SentAt          time.Time
	ExpectedLatency time.Duration
	// Probe requires a new connection, because the open ones may be dead.
	Probe bool
}

// Step holds the actions to carry out next for a call.
type Step struct {
	Sends []Send
	// Reply is set once, when the call is decided. Results of sends in flight are still
	// reported to HandleResult.
	Reply *wigeonspindle.CallReply
	// NextTick is when Tick must be called; zero when it need not be called again.
	NextTick time.Time
}

// Gatherer starts the calls of a host and holds what they share. It is not safe for concurrent
// use.
type Gatherer struct {
	Selector  *selector.Selector
	Budget    *budgeter.Budgeter
	Throttler *throttler.Throttler
	// Correlator identifies calls that crash replicas.
	Correlator *quarantiner.CrashCorrelator

	// Deployment is the current state, which UpdateDeployment sets before the first call starts.
	Deployment *wigeonspindle.DeploymentState

	estimators map[string]wigeonspindle.LatencyEstimator
	// FinishBy is when the host stops, which ends all calls; zero while the host does not stop.
	FinishBy time.Time
	// Standby reports that callers are not directed to this host.
	Standby bool
	// NewEstimator returns an estimator without samples.
	NewEstimator   func() wigeonspindle.LatencyEstimator
	splitters      map[string]*poolSplitter
	callerTimeouts map[string]*callerTimeoutTracker
	closedAt       map[string]time.Time // closedAt is when a replica of each pool last closed an idle connection.
	lastClosedAt   time.Time            // lastClosedAt is the latest of closedAt.
}

// Deadline returns when a call of a route ends in any case, unless the host stops earlier.
func Deadline(call *wigeonspindle.Call, route *wigeonspindle.Route) time.Time {
	remaining := call.CallerTimeout - roundTripOf(call) - callerTimeoutMargin
	if call.CallerTimeout > 0 && remaining < route.Timeout {
		return call.Arrived.Add(remaining)
	}
	return call.Arrived.Add(route.Timeout)
}

// roundTripOf returns the round-trip time between the caller and the host.
func roundTripOf(call *wigeonspindle.Call) time.Duration {
	if call.RoundTrip == 0 {
		return defaultRoundTrip
	}
	return call.RoundTrip
}

// StartCall starts a call of a route and returns its first step. The call keeps the route, and with it the pools and
// one configuration for the whole answer; each of its sends uses the replicas and failure domains of the time at which it is made.
func (g *Gatherer) StartCall(call *wigeonspindle.Call, route *wigeonspindle.Route, now time.Time) (*CallState, Step) {
	state := &CallState{
		Call: call, Route: route, ConfigVersion: g.Deployment.Catalog.Version, gatherer: g, fingerprints: quarantiner.Fingerprints(call),
	}
	roundTrip := roundTripOf(call)
	waited := g.waitedBeforeArrival(call, route, now)
	state.HardDeadline = Deadline(call, route)
	if !g.FinishBy.IsZero() {
		if now.Add(g.requiredTime(route, now)).After(g.FinishBy) {
			state.decided = true
			reply := state.refusalReply(wigeonspindle.CodeLeaving, "the host stops before the call can be finished", now)
			reply.RetryAfter = leavingRetryAfter
			return state, Step{Reply: reply}
		}
		state.HardDeadline = earlier(state.HardDeadline, g.FinishBy)
	}
	pools := route.Shards
	if len(pools) == 0 {
		pools = []string{g.choosePool(route)}
	}
	state.requiredParts = 1
	state.SoftDeadline = state.HardDeadline
	if len(route.Shards) > 0 {
		margin := waited + roundTrip + replyOverhead + time.Duration(replyOverheadFraction*float64(route.Aim))
		state.SoftDeadline = call.Arrived.Add(max(route.Aim-margin, route.Aim/2))
		state.requiredParts = max(int(math.Ceil(route.Coverage*float64(len(pools))-1e-9)), 1)
	}
	state.parts = make([]part, len(pools))
	for i, pool := range pools {
		state.parts[i].pool = pool
		g.Budget.RecordCall(pool, now)
	}
	admission := g.Correlator.Admit(state.fingerprints, func(pool string) bool { return state.usablePool(pool, now) }, now)
	state.TrialClaims = admission.Claims
	if !admission.RefusedUntil.IsZero() {
		state.decided = true
		reply := state.refusalReply(wigeonspindle.CodeQuarantined, "the call has crashed replicas", now)
		reply.RetryAfter = max(reply.RetryAfter, admission.RefusedUntil.Sub(now))
		return state, Step{Reply: reply}
	}
	spare := state.usableParts(now) - state.requiredParts
	if spare < 0 {
		state.decided = true
		return state, Step{Reply: state.refusalReply(wigeonspindle.CodeUnavailable, "too few shards have a usable replica", now)}
	}
	if len(route.Shards) > 0 && !g.Throttler.AdmitQueued(pools, state.queueWaits(now), len(pools)-state.requiredParts, route.Aim, now) {
		state.decided = true
		return state, Step{Reply: state.refusalReply(wigeonspindle.CodeOverloaded, "the replicas' queues are too long", now)}
	}
	if len(route.Shards) > 0 && !g.Throttler.Admit(pools, len(pools)-state.requiredParts, now) {
		state.decided = true
		return state, Step{Reply: state.refusalReply(wigeonspindle.CodeOverloaded, "the shards are overloaded", now)}
	}
	var step Step
	if len(route.Shards) > 0 {
		for _, i := range g.Throttler.SkipPools(pools, spare, now) {
			state.failPart(&state.parts[i])
			state.SkippedParts++
		}
	}
	state.Trials = admission.Trials
	g.Correlator.UseTrials(state.Trials)
	state.holdParts(now)
	if state.holding() {
		state.advanceHeldParts(now, &step)
	} else {
		state.sendFirst(now, &step)
	}
	state.nextTick = state.computeNextTick(now)
	state.decide(now, &step)
	return state, step
}

// requiredTime returns the time in which replicas answer 99 of 100 sends of a route: the latency
// objective until there are samples.
func (g *Gatherer) requiredTime(route *wigeonspindle.Route, now time.Time) time.Duration {
	if estimate := g.estimator(route).Estimate(now); estimate.Count > 0 {
		return estimate.P99
	}
	return route.Aim
}

// waitedBeforeArrival returns how much of the latency objective has passed before a call arrived.
// If it is maxWaitedFraction or more, the objective can hardly be met, and only the time to
// connect counts.
func (g *Gatherer) waitedBeforeArrival(call *wigeonspindle.Call, route *wigeonspindle.Route, now time.Time) time.Duration {
	if call.CallerTimeout == 0 {
		return call.ConnectTime
	}
	if g.callerTimeouts == nil {
		g.callerTimeouts = make(map[string]*callerTimeoutTracker)
	}
	tracker, ok := g.callerTimeouts[route.Name]
	if !ok {
		tracker = &callerTimeoutTracker{}
		g.callerTimeouts[route.Name] = tracker
	}
	if waited := tracker.observe(call.CallerTimeout, now); float64(waited) < maxWaitedFraction*float64(route.Aim) {
		return max(waited, call.ConnectTime)
	}
	return call.ConnectTime
}

// RecordReachability records what a dial of a replica that started at a given time has shown. It returns the
// suspicions that follow against calls that were running on the replica.
func (g *Gatherer) RecordReachability(replica *wigeonspindle.Replica, reachability wigeonspindle.Reachability, dialled, now time.Time) []wigeonspindle.Suspicion {
	if reachability == wigeonspindle.Reachable {
		g.Correlator.RecordReachable(replica.ID, dialled)
		return nil
	}
	g.Selector.RecordUnreachable(replica, now)
	return g.recordLoss(replica, reachability, now)
}

// recordLoss returns the suspicions that follow from the loss of a replica.
func (g *Gatherer) recordLoss(replica *wigeonspindle.Replica, reachability wigeonspindle.Reachability, now time.Time) []wigeonspindle.Suspicion {
	if reachability == wigeonspindle.Ended {
		return g.Correlator.RecordEnded(replica.ID, now)
	}
	return g.Correlator.RecordUnreachable(replica.ID, now)
}

// expectedLatency returns the median latency of the sends of the call's route.
func (c *CallState) expectedLatency(now time.Time) time.Duration {
	estimate := c.gatherer.estimator(c.Route).Estimate(now)
	if estimate.Count == 0 {
		return time.Duration(initialLatencyFraction * float64(c.Route.Aim))
	}
	return max(estimate.P50, time.Millisecond)
}

func (g *Gatherer) estimator(route *wigeonspindle.Route) wigeonspindle.LatencyEstimator {
	if g.estimators == nil {
		g.estimators = make(map[string]wigeonspindle.LatencyEstimator)
	}
	estimator, ok := g.estimators[route.Name]
	if !ok {
		estimator = g.NewEstimator()
		g.estimators[route.Name] = estimator
	}
	return estimator
}

// UpdateDeployment sets the current state, accepts the suspicions of other hosts and drops the state of routes, pools
// and replicas that no longer exist. It returns the suspicions that answers at this host refute. HandleDeployment is then
// called for each running call.
func (g *Gatherer) UpdateDeployment(deployment *wigeonspindle.DeploymentState, known map[string]bool, now time.Time) []wigeonspindle.Suspicion {
	if deployment.Catalog == nil {
		return nil
	}
	deployment = withFormerPools(deployment, g.Deployment)
	g.Deployment = deployment
	routes := make(map[string]bool, len(deployment.Catalog.Routes))
	for i := range deployment.Catalog.Routes {
		routes[deployment.Catalog.Routes[i].Name] = true
	}
	maps.DeleteFunc(g.estimators, func(name string, _ wigeonspindle.LatencyEstimator) bool { return !routes[name] })
	maps.DeleteFunc(g.splitters, func(name string, _ *poolSplitter) bool { return !routes[name] })
	maps.DeleteFunc(g.callerTimeouts, func(name string, _ *callerTimeoutTracker) bool { return !routes[name] })
	used := func(pool string) bool { _, ok := deployment.Catalog.Pools[pool]; return ok }
	g.Budget.Prune(used)
	maps.DeleteFunc(g.closedAt, func(pool string, _ time.Time) bool { return !used(pool) })
	g.Budget.RecordHosts(len(deployment.ServingPeers), now)
	g.Throttler.Prune(used)
	g.Selector.Retain(known, now)
	g.Correlator.RetainTargets(known, now)
	return g.Correlator.Quarantiner.Sync(deployment.Suspicions, now)
}

// withFormerPools adds the pools of an earlier state that the configuration no longer names but that still have replicas.
// Running calls may send to them, by the limits that hold for these replicas.
func withFormerPools(deployment, earlier *wigeonspindle.DeploymentState) *wigeonspindle.DeploymentState {
	if earlier == nil || earlier.Catalog == deployment.Catalog {
		return deployment
	}
	pools := maps.Clone(earlier.Catalog.Pools)
	maps.DeleteFunc(pools, func(name string, _ wigeonspindle.Pool) bool {
		_, named := deployment.Catalog.Pools[name]
		return named || len(deployment.Replicas[name]) == 0
	})
	if len(pools) == 0 {
		return deployment
	}
	maps.Copy(pools, deployment.Catalog.Pools)
	state, catalog := *deployment, *deployment.Catalog
	catalog.Pools, state.Catalog = pools, &catalog
	return &state
}
