package dispatcher

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
	"wigeonspindle.example/wigeonspindle/internal/transport/exchanger"
)

// send submits a send to the connection pool.
func (d *Dispatcher) send(p *pendingCall, send gatherer.Send, now time.Time) {
	job := &exchanger.Job{Call: p.call, Key: jobKey{pending: p, send: send}, Body: p.call.Body}
	job.Header = d.Dialect.RequestHeader(nil, p.call, send.Replica, p.state.HardDeadline.Sub(now))
	var maxIdle time.Duration
	limit := d.connectionLimit(send.Replica)
	switch {
	case send.Probe:
		maxIdle = neverIdle
		limit++ // All other connections may be occupied by sends that are never answered.
	case p.route.Class == wigeonspindle.ClassOnce:
		maxIdle = maxIdleForOnce
	}
	p.jobs = append(p.jobs, job)
	d.Meter.CountSend(p.route.Name, send.Kind)
	if !d.pool.Send(send.Replica, job, limit, maxIdle) {
		d.handleResult(job, wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeOverloaded}, nil)
		return
	}
	if job.Waiting() {
		d.timers.AddOnce(now.Add(d.pool.DialPatience()), func(now time.Time) { d.handleStalled(job, now) })
	}
}

// handleStalled moves a send to another replica if it still waits for a connection.
func (d *Dispatcher) handleStalled(job *exchanger.Job, now time.Time) {
	key := job.Key.(jobKey)
	p := key.pending
	if !job.Waiting() || p.state.Decided() || !slices.Contains(p.jobs, job) {
		return
	}
	step, withdrawn := p.state.HandleStalled(key.send, now)
	if !withdrawn {
		d.timers.AddOnce(now.Add(d.pool.DialPatience()), func(now time.Time) { d.handleStalled(job, now) })
		return
	}
	d.Logger.Info("send moved to another replica: no connection yet", "call", p.call.ID, "route", p.route.Name, "pool", key.send.Replica.Pool,
		"replica", key.send.Replica.ID, "waited", now.Sub(key.send.SentAt), "kind", key.send.Kind)
	d.pool.Take(key.send.Replica.ID, job)
	p.removeJob(job)
	d.execute(p, step, now)
}

// withdrawWaiting removes the sends of a call that have no connection, so that its reply can say that they
// have not run.
func (d *Dispatcher) withdrawWaiting(p *pendingCall) {
	for _, job := range slices.Clone(p.jobs) {
		send := job.Key.(jobKey).send
		if job.Waiting() && d.pool.Take(send.Replica.ID, job) {
			p.removeJob(job)
			p.state.DiscardSend(send)
		}
	}
}

// connectionLimit returns the maximum number of connections from this host to a replica.
func (d *Dispatcher) connectionLimit(replica *wigeonspindle.Replica) int {
	if !d.serving {
		return standbyConnections
	}
	pool := d.Gatherer.Deployment.Catalog.Pools[replica.Pool]
	return max(int(connectionShare*float64(pool.Connections)/float64(max(len(d.deployment.ServingPeers), 1))), 1)
}

func (d *Dispatcher) handleResult(job *exchanger.Job, exchange wigeonspindle.Exchange, err error) {
	key := job.Key.(jobKey)
	p, now := key.pending, d.Clock.Now()
	p.removeJob(job)
	if key.send.Probe && exchange.Response != nil {
		d.closeSilent(key.send, exchange.Took, now)
	}
	d.logExchange(p, key.send, exchange, err)
	decided := p.state.Decided()
	limit := d.Gatherer.Selector.Limit(key.send.Replica.ID)
	step := p.state.HandleResult(key.send, exchange, now)
	if step.Reply != nil && step.Reply.Response != nil && step.Reply.Response == exchange.Response {
		job.KeepBody, p.replying = true, job
	}
	d.logLimit(key.send.Replica, limit)
	d.logInvalidFields(key.send.Replica, exchange.Response, now)
	noticed := p.state.Noticed
	if noticed {
		d.logNotice(key.send.Replica, exchange.Response, now)
	}
	d.reportSuspicions(p.state.Suspicions, now)
	d.pool.Watch(key.send.Replica, p.state.WatchUntil)
	switch {
	case !decided:
		d.execute(p, step, now)
	case len(p.jobs) == 0 && p.timer != nil:
		d.timers.Remove(p.timer)
		p.timer = nil
	}
	if noticed {
		d.pool.Withdraw(key.send.Replica.ID)
	}
}

// closeSilent closes the connections to a replica that has answered a probe, if they have been
// silent for several times the response time of the probe.
func (d *Dispatcher) closeSilent(send gatherer.Send, took time.Duration, now time.Time) {
	before := now.Add(-max(silenceFactor*took, minSilence))
	if before.After(send.SentAt) {
		before = send.SentAt
	}
	d.Logger.Warn("replica answered a probe; closing its silent connections", "replica", send.Replica.ID, "pool", send.Replica.Pool, "took", took, "expected_latency", send.ExpectedLatency)
	d.pool.CloseSilent(send.Replica.ID, before)
}

func (p *pendingCall) removeJob(job *exchanger.Job) {
	for i := range p.jobs {
		if p.jobs[i] == job {
			p.jobs = append(p.jobs[:i], p.jobs[i+1:]...)
			return
		}
	}
}
