package exchanger

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/queuer"
)

// Pool holds the connections of a host to all replicas. It is not safe for concurrent use: one
// goroutine calls its methods, receives from Events and passes each event to HandleEvent.
type Pool struct {
	Dialect wigeonspindle.Dialect
	Clock   wigeonspindle.Clock
	Events  *queuer.Ring[Event]
	Stop    <-chan struct{}
	// OnResult is called with each job and its result.
	OnResult func(job *Job, exchange wigeonspindle.Exchange, err error)
	// CloseAfterUse closes each connection after its job. A host that rarely sends must not hold
	// connections that count against the limits of the replicas.
	CloseAfterUse bool
	// BodyMemory bounds the memory, in bytes, of the large bodies that all connections are reading; 0
	// means no limit.
	BodyMemory int64
	// OnDial is called with the start of a dial when the replica has accepted the connection, and with the error when
	// the dial has failed unless the failure is the result of a job that waited for the connection.
	OnDial func(replica *wigeonspindle.Replica, err error, dialled time.Time)
	// OnIdleClosed is called when a replica has closed an idle connection earlier than it said.
	OnIdleClosed func(replica *wigeonspindle.Replica)
	// Schedule calls run at a time, on the goroutine of the pool. Watch needs it.
	Schedule func(at time.Time, run func())

	dialTime time.Duration // dialTime is the moving average of the time in which replicas accept a connection.
	memory   *bodyMemory
	replicas map[string]*replicaConnections
	closing  map[*Connection]bool // closing holds aborted idle connections until they report their end.
}

// replicaConnections holds the connections to one replica and the jobs that wait for one.
type replicaConnections struct {
	idle    []*Connection // idle holds open connections without a job, the most recently used last.
	active  map[*Connection]*Job
	opening map[*Connection]bool
	waiting []*Job
	removed bool // removed reports that the replica is no longer in the deployment state.
	// broke reports that a connection broke or a request failed while connections were open. When these end
	// too, the replica may have crashed.
	broke bool
	watch watch
}

func (r *replicaConnections) size() int { return len(r.idle) + len(r.active) + len(r.opening) }

// Send assigns a job to a connection to a replica, opening one while there are fewer than
// limit. It reports false when all connections are in use. The job gets no connection that has carried its
// call before, or that has been idle for longer than maxIdle; 0 means no such limit.
func (p *Pool) Send(replica *wigeonspindle.Replica, job *Job, limit int, maxIdle time.Duration) bool {
	r := p.connectionsTo(replica.ID)
	now := p.Clock.Now()
	if connection := p.takeIdle(r, job.Call.ID, now, maxIdle); connection != nil {
		r.active[connection] = job
		connection.Submit(job)
		return true
	}
	if r.size() >= limit && len(r.idle) > 0 {
		p.abortIdle(r.idle[0]) // It has been idle for longer than maxIdle, or has carried the call.
		r.idle = r.idle[1:]
	}
	if r.size() >= limit && len(r.opening) <= len(r.waiting) {
		return false
	}
	if len(r.opening) <= len(r.waiting) {
		p.dial(r, replica)
	}
	r.waiting = append(r.waiting, job)
	return true
}

// Preconnect opens a connection to a replica if there is none.
func (p *Pool) Preconnect(replica *wigeonspindle.Replica) {
	if r := p.connectionsTo(replica.ID); r.size() == 0 {
		p.dial(r, replica)
	}
}

// Abort closes the connection that carries a job, or removes the job from the queue.
func (p *Pool) Abort(replica string, job *Job) {
	r := p.connectionsTo(replica)
	if p.Take(replica, job) {
		p.OnResult(job, wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeCancelled}, nil)
		return
	}
	for connection, active := range r.active {
		if active == job {
			connection.Abort()
		}
	}
}

// CloseSilent closes the connections to a replica that have been idle since before a time, and
// those whose job started before it. It is used when the replica answers on another connection.
func (p *Pool) CloseSilent(replica string, before time.Time) {
	r := p.connectionsTo(replica)
	idle := r.idle[:0]
	for _, connection := range r.idle {
		if connection.IdleSince.Before(before) {
			p.abortIdle(connection)
			continue
		}
		idle = append(idle, connection)
	}
	r.idle = idle
	for connection, job := range r.active {
		if job.started.Before(before) {
			connection.Abort()
		}
	}
}

// RetainReplicas closes the idle connections to replicas that are not in ids, or to all
// replicas if CloseAfterUse is set.
func (p *Pool) RetainReplicas(ids map[string]bool) {
	for id, r := range p.replicas {
		r.removed = !ids[id]
		if !r.removed && (!p.CloseAfterUse || p.watched(r)) {
			continue
		}
		for _, connection := range r.idle {
			p.abortIdle(connection)
		}
		r.idle = nil
		if r.size() == 0 && len(r.waiting) == 0 {
			delete(p.replicas, id)
		}
	}
}

// Size returns the number of idle, active and opening connections.
func (p *Pool) Size() int {
	size := 0
	for _, r := range p.replicas {
		size += r.size()
	}
	return size
}

// abortIdle aborts a connection that has no job. HandleEvent consumes the event of its end.
func (p *Pool) abortIdle(connection *Connection) {
	if p.closing == nil {
		p.closing = make(map[*Connection]bool)
	}
	p.closing[connection] = true
	connection.Abort()
}

// Close closes all connections and waits for their goroutines.
func (p *Pool) Close() {
	for connection := range p.closing {
		connection.Close()
	}
	for _, r := range p.replicas {
		for _, connection := range r.idle {
			connection.Close()
		}
		for connection := range r.active {
			connection.Close()
		}
		for connection := range r.opening {
			connection.Close()
		}
	}
}

// HandleEvent processes an event from Events.
func (p *Pool) HandleEvent(event Event) {
	connection := event.Connection
	if event.Closed && event.Job == nil && p.closing[connection] {
		delete(p.closing, connection)
		return
	}
	r := p.connectionsTo(connection.Replica.ID)
	switch {
	case event.Opened:
		delete(r.opening, connection)
		p.recordDial(p.Clock.Now().Sub(connection.dialled))
		p.OnDial(connection.Replica, nil, connection.dialled)
		p.assignNext(r, connection)
	case event.Job != nil:
		p.handleResult(r, event)
	case event.Closed:
		p.handleClosed(r, event)
	}
}

// handleResult processes the result of a job and reuses its connection if possible.
func (p *Pool) handleResult(r *replicaConnections, event Event) {
	connection := event.Connection
	expected := r.active[connection] == event.Job
	delete(r.active, connection)
	if expected && !event.Closed && event.Exchange.Response != nil {
		p.assignNext(r, connection)
	}
	if response := event.Exchange.Response; event.Exchange.Code == wigeonspindle.CodeBroken || response != nil && response.Failed() {
		r.broke = true
	}
	p.OnResult(event.Job, event.Exchange, event.Err)
	if !event.Job.KeepBody {
		p.ReleaseBody(event.Job)
	}
	p.checkReachable(r, connection.Replica) // A dial tells something only if it starts after the result is recorded.
}

// ReleaseBody gives back the memory of the response to a job, whose body is no longer needed. It may be called on any
// goroutine, once for each job with KeepBody.
func (p *Pool) ReleaseBody(job *Job) { p.memory.release(job.reserved) }

// handleClosed processes the end of a connection, or its failure to open. Waiting jobs for which
// no opening connection is left fail.
func (p *Pool) handleClosed(r *replicaConnections, event Event) {
	connection := event.Connection
	notSent := wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeUnreachable, Reachability: wigeonspindle.Unreachable}
	if job, ok := r.active[connection]; ok {
		delete(r.active, connection)
		p.OnResult(job, notSent, event.Err)
	}
	for i, idle := range r.idle {
		if idle == connection {
			r.idle = append(r.idle[:i], r.idle[i+1:]...)
			if p.OnIdleClosed != nil && p.Clock.Now().Before(connection.ReuseUntil) {
				p.OnIdleClosed(connection.Replica)
			}
			break
		}
	}
	if !r.opening[connection] {
		p.checkReachable(r, connection.Replica)
		return
	}
	delete(r.opening, connection)
	if notSent.Reachability = ReachabilityOf(event.Err); notSent.Reachability == wigeonspindle.Ended {
		r.watch = watch{}
	}
	if len(r.waiting) <= len(r.opening) {
		p.OnDial(connection.Replica, event.Err, connection.dialled)
	}
	for len(r.waiting) > len(r.opening) {
		job := r.waiting[0]
		r.waiting = r.waiting[1:]
		p.OnResult(job, notSent, event.Err)
	}
}

// assignNext assigns the next waiting job to a connection, or keeps the connection idle.
func (p *Pool) assignNext(r *replicaConnections, connection *Connection) {
	if connection.Exhausted() {
		p.abortIdle(connection)
		return
	}
	// A job whose call the connection has carried goes on waiting: a connection is opening for each waiting job.
	next := slices.IndexFunc(r.waiting, func(job *Job) bool { return !connection.Carried(job.Call.ID) })
	if next >= 0 {
		job := r.waiting[next]
		r.waiting = slices.Delete(r.waiting, next, next+1)
		r.active[connection] = job
		connection.Submit(job)
		return
	}
	if r.removed || p.CloseAfterUse && !p.watched(r) {
		p.abortIdle(connection)
		return
	}
	now := p.Clock.Now()
	connection.IdleSince = now
	if connection.ReuseUntil.IsZero() {
		connection.ReuseUntil = now.Add(defaultIdleTimeout)
	}
	r.idle = append(r.idle, connection)
}

func (p *Pool) dial(r *replicaConnections, replica *wigeonspindle.Replica) {
	if p.memory == nil {
		p.memory = &bodyMemory{limit: p.BodyMemory}
	}
	connection := &Connection{Replica: replica, Dialect: p.Dialect, Clock: p.Clock, Events: p.Events, Stop: p.Stop, memory: p.memory}
	r.opening[connection] = true
	r.broke = false // The outcome of the dial tells whether the replica is reachable.
	connection.Run()
}

func (p *Pool) connectionsTo(replica string) *replicaConnections {
	if p.replicas == nil {
		p.replicas = make(map[string]*replicaConnections)
	}
	r, ok := p.replicas[replica]
	if !ok {
		r = &replicaConnections{active: make(map[*Connection]*Job), opening: make(map[*Connection]bool)}
		p.replicas[replica] = r
	}
	return r
}

// takeIdle removes and returns the most recently used idle connection that has not carried a call, or nil if
// there is none within maxIdle. Connections that the replica may close are aborted.
func (p *Pool) takeIdle(r *replicaConnections, call string, now time.Time, maxIdle time.Duration) *Connection {
	for i := len(r.idle) - 1; i >= 0; i-- {
		connection := r.idle[i]
		switch {
		case !now.Before(connection.ReuseUntil):
			r.idle = slices.Delete(r.idle, i, i+1)
			p.abortIdle(connection)
		case maxIdle > 0 && now.Sub(connection.IdleSince) > maxIdle:
			return nil // The remaining ones have been idle for longer.
		case !connection.Carried(call):
			r.idle = slices.Delete(r.idle, i, i+1)
			return connection
		}
	}
	return nil
}
