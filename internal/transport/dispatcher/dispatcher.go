// Package dispatcher serves the calls of a host on a single goroutine, which owns the state of
// all calls and of the connections to replicas, and executes the steps that the gatherer returns.
package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/balancer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
	"wigeonspindle.example/wigeonspindle/internal/state/scheduler"
	"wigeonspindle.example/wigeonspindle/internal/transport/exchanger"
)

// Queue sizes, timeouts and connection limits.
const (
	// callQueueSize bounds the calls that wait for the dispatcher; further calls are refused. A
	// host serves about ten calls per second for each tenth of a core.
	callQueueSize = 256
	// eventQueueSize bounds the pending connection events; a connection blocks while the queue
	// is full.
	eventQueueSize = 256
	// cancelGrace is how long a replica may continue to run a cancelled call. Most sends finish
	// within that time, so their connections can be reused.
	cancelGrace = 250 * time.Millisecond
	// lateResponseGrace is how long after the deadline of a call a replica may still respond, so
	// that its connection can be reused.
	lateResponseGrace = 250 * time.Millisecond
	// connectionShare is the fraction of a replica's connections that all serving hosts use
	// together; the rest is reserved for hosts that are stopping or starting.
	connectionShare = 0.8
	// standbyConnections is the connection limit per replica of a host to which no callers are
	// directed.
	standbyConnections = 1
	// maxIdleForOnce is the maximum idle time of a connection used for a call that must not run
	// twice: such a call cannot be retried when the replica closes the connection under it.
	maxIdleForOnce = time.Second
	// neverIdle is an idle limit that only a new connection meets.
	neverIdle = time.Nanosecond
	// A connection counts as silent after silenceFactor times the response time of a probe on a
	// new connection, and at least minSilence. A long request on a working connection takes less.
	silenceFactor = 4
	minSilence    = 400 * time.Millisecond
	// maxStateAge is the age of the deployment state above which an unknown route may be one
	// that was added since.
	maxStateAge = 3 * time.Second
	// suspicionReportDelay is how long a suspicion waits for a response from another replica
	// before it is reported to the other hosts. By then, a call whose replica crashed for another
	// reason has been answered.
	suspicionReportDelay = 500 * time.Millisecond
	// invalidFieldLogInterval is the least time between two log lines about invalid values of a field.
	// A replica that sends one usually sends it in each response.
	invalidFieldLogInterval = 5 * time.Second
	// retryAfter is the advised delay before a caller retries a call that was refused because
	// the queue was full, or the configuration or the route was not known.
	retryAfter = 500 * time.Millisecond
)

// Dispatcher routes calls to replicas. It implements wigeonspindle.Gateway.
type Dispatcher struct {
	Self     wigeonspindle.Peer // Self is the entry of this host.
	Gatherer *gatherer.Gatherer
	Dialect  wigeonspindle.Dialect
	Clock    wigeonspindle.Clock
	Meter    wigeonspindle.CallMeter
	Logger   *log.Logger
	// BodyMemory bounds the memory, in bytes, of the large response bodies that are being read.
	BodyMemory int64
	// ReportSuspicion sends a suspicion to the other hosts. It must not block.
	ReportSuspicion func(suspicion wigeonspindle.Suspicion)

	callQueue   *queuer.Ring[*pendingCall]
	cancelQueue *queuer.Ring[*pendingCall]
	deployments *queuer.Ring[*wigeonspindle.DeploymentState]
	stopQueue   *queuer.Ring[time.Time]
	running     map[*pendingCall]bool // running holds the calls that are not decided.
	events      *queuer.Ring[exchanger.Event]
	pool        *exchanger.Pool
	timers      scheduler.Timers
	deployment  *wigeonspindle.DeploymentState
	// routes is what calls are matched with. Only the dispatcher's goroutine replaces it.
	routes atomic.Pointer[routes]
	// invalidFieldLoggedAt is when each field with an invalid value was last logged.
	invalidFieldLoggedAt map[string]time.Time
	unlistedReportDue    bool            // unlistedReportDue reports that what the registry lacks will be reported.
	unlistedReportedAt   time.Time       // unlistedReportedAt is when they were last reported.
	unreachable          map[string]bool // unreachable holds the replicas that have been logged as accepting no connection.
	serving              bool            // serving reports whether callers are directed to this host.
	stop                 chan struct{}
	done                 sync.WaitGroup
}

type pendingCall struct {
	call      *wigeonspindle.Call
	route     *wigeonspindle.Route
	state     *gatherer.CallState
	reply     chan wigeonspindle.CallReply
	timer     *scheduler.Timer
	jobs      []*exchanger.Job // jobs are the sends without a result.
	replying  *exchanger.Job   // replying is the send whose response is the reply, if its body is kept.
	body      *bodyIdentity    // body is set when the body of the call has been dropped.
	cancelled bool             // cancelled reports that the caller has disconnected.
	abortAt   time.Time        // abortAt is when the remaining sends of a decided call are aborted.
}

// jobKey identifies the call and the send of a job.
type jobKey struct {
	pending *pendingCall
	send    gatherer.Send
}

// Run starts the dispatcher.
func (d *Dispatcher) Run() {
	d.callQueue = queuer.New[*pendingCall](callQueueSize)
	d.cancelQueue = queuer.New[*pendingCall](callQueueSize)
	d.deployments = queuer.New[*wigeonspindle.DeploymentState](1)
	d.stopQueue = queuer.New[time.Time](1)
	d.running = make(map[*pendingCall]bool)
	d.invalidFieldLoggedAt = make(map[string]time.Time)
	d.unreachable = make(map[string]bool)
	d.events = queuer.New[exchanger.Event](eventQueueSize)
	d.stop = make(chan struct{})
	d.deployment = &wigeonspindle.DeploymentState{}
	d.routes.Store(&routes{})
	d.pool = &exchanger.Pool{
		Dialect: d.Dialect, Clock: d.Clock, Events: d.events, Stop: d.stop, OnResult: d.handleResult, OnDial: d.handleDial, OnIdleClosed: d.handleIdleClosed, BodyMemory: d.BodyMemory,
		Schedule: func(at time.Time, run func()) { d.timers.AddOnce(at, func(time.Time) { run() }) },
	}
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		d.loop()
	}()
}

// Close stops the dispatcher, closes its connections and waits for both.
func (d *Dispatcher) Close() {
	close(d.stop)
	d.done.Wait()
	d.pool.Close()
}

// UpdateDeployment queues a new deployment state in place of one that is still queued. It does not
// wait for the dispatcher.
func (d *Dispatcher) UpdateDeployment(deployment *wigeonspindle.DeploymentState) {
	for !d.deployments.Offer(deployment) {
		select {
		case <-d.deployments.C():
		default:
		}
	}
}

// FinishBy announces that the host stops: all calls are answered by the deadline, and those that cannot
// be finished until then are refused. It is called once.
func (d *Dispatcher) FinishBy(deadline time.Time) { d.stopQueue.Offer(deadline) }

// Handle implements wigeonspindle.Gateway.
func (d *Dispatcher) Handle(ctx context.Context, call *wigeonspindle.Call) wigeonspindle.CallReply {
	p := &pendingCall{call: call, reply: make(chan wigeonspindle.CallReply, 1)}
	if !d.callQueue.Offer(p) {
		reply := refusalReply(wigeonspindle.CodeOverloaded, wigeonspindle.NotRun, "the call queue is full", retryAfter)
		d.logUnqueued(call, reply)
		return reply
	}
	select {
	case reply := <-p.reply:
		reply.Release = p.releaseReply(d.pool)
		return reply
	case <-ctx.Done():
		d.cancelQueue.Put(p, d.stop)
		select {
		case <-p.reply: // The dispatcher keeps the body of the call until then.
			p.releaseReply(d.pool)()
		case <-d.stop:
		}
		return refusalReply(wigeonspindle.CodeCancelled, wigeonspindle.MayHaveRun, "the caller disconnected", 0)
	case <-d.stop:
		return refusalReply(wigeonspindle.CodeLeaving, wigeonspindle.MayHaveRun, "the host stopped", 0)
	}
}

// releaseReply returns the function that gives back the memory of the reply.
func (p *pendingCall) releaseReply(pool *exchanger.Pool) func() {
	if p.replying == nil {
		return func() {}
	}
	return func() { pool.ReleaseBody(p.replying) }
}

func (d *Dispatcher) loop() {
	next := time.NewTimer(time.Hour)
	defer next.Stop()
	for {
		select {
		case p := <-d.callQueue.C():
			d.start(p)
		case event := <-d.events.C():
			d.pool.HandleEvent(event)
		case p := <-d.cancelQueue.C():
			d.cancel(p)
		case deployment := <-d.deployments.C():
			d.applyDeployment(deployment)
		case deadline := <-d.stopQueue.C():
			d.applyStop(deadline)
		case <-next.C:
		case <-d.stop:
			return
		}
		d.timers.RunDue(d.Clock.Now())
		next.Reset(d.timers.UntilNext(d.Clock.Now()))
	}
}

func (d *Dispatcher) applyStop(deadline time.Time) {
	now := d.Clock.Now()
	d.Gatherer.FinishBy = deadline
	for p := range d.running {
		d.execute(p, p.state.FinishBy(deadline, now), now)
	}
}

func (d *Dispatcher) applyDeployment(deployment *wigeonspindle.DeploymentState) {
	d.routes.Store(d.routes.Load().update(deployment))
	d.deployment = deployment
	d.serving = balancer.Serves(deployment, d.Self)
	replicaIDs := deployment.ReplicaIDs()
	now := d.Clock.Now()
	d.withdrawRefuted(d.Gatherer.UpdateDeployment(deployment, replicaIDs, now), now)
	d.removeExpiredSuspicions(deployment, now)
	d.scheduleUnlistedReports(now)
	d.pool.CloseAfterUse, d.Gatherer.Standby = !d.serving, !d.serving
	d.pool.RetainReplicas(replicaIDs)
	maps.DeleteFunc(d.unreachable, func(id string, _ bool) bool { return !replicaIDs[id] })
	d.updateRunning(now)
	if d.serving && deployment.Catalog != nil {
		d.preconnect(deployment)
	}
}

// updateRunning applies the deployment state to the running calls: sends that wait for a connection to a replica which
// no longer accepts work go elsewhere, and parts that wait for a replica reconsider when to send.
func (d *Dispatcher) updateRunning(now time.Time) {
	if d.pool.HasWaiting() {
		accepting := make(map[string]bool)
		for _, replicas := range d.deployment.Replicas {
			for _, replica := range replicas {
				accepting[replica.ID] = replica.AcceptsWork(d.deployment.OutDomains)
			}
		}
		d.pool.WithdrawExcept(accepting)
	}
	for _, p := range slices.Collect(maps.Keys(d.running)) {
		if step, changed := p.state.HandleDeployment(now); changed {
			d.execute(p, step, now)
		}
	}
}

// preconnect opens a connection to each replica in the pools of the routes, so that calls need
// not wait for one.
func (d *Dispatcher) preconnect(deployment *wigeonspindle.DeploymentState) {
	pools := make(map[string]bool)
	for i := range deployment.Catalog.Routes {
		route := &deployment.Catalog.Routes[i]
		for _, pool := range route.Shards {
			pools[pool] = true
		}
		for _, share := range route.Split {
			pools[share.Pool] = true
		}
	}
	for pool := range pools {
		for _, replica := range deployment.Replicas[pool] {
			if replica.AcceptsWork(deployment.OutDomains) && !d.Gatherer.Selector.Noticer.Leaving(replica) {
				d.pool.Preconnect(replica)
			}
		}
	}
}

// start routes a queued call and executes its first step. It skips a call that was cancelled while
// it was queued.
func (d *Dispatcher) start(p *pendingCall) {
	if p.cancelled {
		return
	}
	now := d.Clock.Now()
	var refusal *wigeonspindle.CallReply
	if p.route, refusal = d.routes.Load().match(p.call, now); refusal != nil {
		d.reply(p, *refusal, now)
		return
	}
	state, step := d.Gatherer.StartCall(p.call, p.route, now)
	p.state = state
	d.claimTrials(state.TrialClaims, now)
	for _, trial := range state.Trials {
		d.Logger.Info("sending a quarantined call as a trial", "call", p.call.ID, "fingerprint", trial.FingerprintName(), "trial", trial.Crash, "claim", trial.Target)
	}
	d.running[p] = true
	d.execute(p, step, now)
}

// execute performs a step of a call: it replies, or sets the timer and sends.
func (d *Dispatcher) execute(p *pendingCall, step gatherer.Step, now time.Time) {
	if step.Reply != nil {
		d.reply(p, *step.Reply, now)
		return
	}
	d.setTimer(p, step.NextTick)
	for _, send := range step.Sends {
		// A send without a free connection fails at once, which may decide the call.
		if p.state.Decided() {
			p.state.DiscardSend(send)
			continue
		}
		d.send(p, send, now)
	}
}

func (d *Dispatcher) setTimer(p *pendingCall, at time.Time) {
	if p.timer == nil {
		p.timer = d.timers.Add(at, func(now time.Time) { d.tick(p, now) })
		return
	}
	d.timers.Reschedule(p.timer, at)
}

// tick runs when the timer of a call fires. It aborts the remaining sends of a decided call.
func (d *Dispatcher) tick(p *pendingCall, now time.Time) {
	if !p.state.Decided() {
		if !now.Before(p.state.HardDeadline) {
			d.withdrawWaiting(p)
		}
		d.execute(p, p.state.Tick(now), now)
		return
	}
	d.timers.Remove(p.timer)
	p.timer = nil
	for _, job := range append([]*exchanger.Job(nil), p.jobs...) {
		d.pool.Abort(job.Key.(jobKey).send.Replica.ID, job)
	}
}

// reply answers a call. Its remaining sends are aborted after lateResponseGrace.
func (d *Dispatcher) reply(p *pendingCall, reply wigeonspindle.CallReply, now time.Time) {
	delete(d.running, p)
	d.withdrawWaiting(p)
	p.reply <- reply // Does not block: the channel is buffered and a call has one reply.
	d.logReply(p, reply, now)
	p.dropBody()
	if p.state != nil {
		d.scheduleAbort(p, p.state.HardDeadline.Add(lateResponseGrace))
	}
}

// scheduleAbort schedules the abort of the remaining sends of a decided call, or removes the timer if
// there are none.
func (d *Dispatcher) scheduleAbort(p *pendingCall, at time.Time) {
	switch {
	case len(p.jobs) > 0:
		d.setTimer(p, at)
	case p.timer != nil:
		d.timers.Remove(p.timer)
		p.timer = nil
	}
}

// cancel ends a call whose caller has disconnected.
func (d *Dispatcher) cancel(p *pendingCall) {
	if p.cancelled {
		return
	}
	p.cancelled = true
	if p.state == nil {
		p.dropBody()
		p.reply <- wigeonspindle.CallReply{} // The call has not started; start skips it. Handle does not use the reply.
		return
	}
	now := d.Clock.Now()
	delete(d.running, p)
	if !p.state.Decided() {
		p.state.Cancel()
		d.withdrawWaiting(p)
		p.dropBody()
		p.reply <- wigeonspindle.CallReply{} // Handle does not use the reply.
		d.Logger.Info("call cancelled: the caller disconnected", "call", p.call.ID, "route", p.route.Name, "took", now.Sub(p.call.Arrived))
	}
	d.scheduleAbort(p, now.Add(cancelGrace))
}

func refusalReply(code wigeonspindle.Code, verdict wigeonspindle.Verdict, message string, retry time.Duration) wigeonspindle.CallReply {
	return wigeonspindle.CallReply{
		Refusal:    &wigeonspindle.Refusal{Code: code, Verdict: verdict, Message: message},
		RetryAfter: retry,
	}
}
