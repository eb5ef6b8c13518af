package gatherer_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/selector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/throttler"
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// queuedReplica is a replica with slots and a queue of bounded length.
type queuedReplica struct {
	slowness float64 // slowness multiplies the service times.
	running  int
	queue    []func(now time.Duration)
}

// overload replays calls of several hosts over shards whose replicas have slots and queues.
type overload struct {
	events   eventQueue
	replicas map[string]*queuedReplica
	random   *rand.Rand
	reports  bool // reports tells whether the replicas report their load.

	inTime, late, refused, sends int
}

const (
	overloadSlots   = 2
	overloadQueue   = 12
	overloadService = 15 * time.Millisecond
	overloadPeriod  = 5 * time.Second
	overloadDelay   = time.Millisecond // overloadDelay is that of one way between a host and a replica.
)

func (o *overload) schedule(at time.Duration, run func(now time.Duration)) {
	heap.Push(&o.events, event{at, run})
}

// execute carries out a step of a call that arrived at a time.
func (o *overload) execute(state *gatherer.CallState, step gatherer.Step, arrived, now time.Duration) {
	switch {
	case step.Reply != nil && step.Reply.Merged != nil && now-arrived <= 120*time.Millisecond:
		o.inTime++
	case step.Reply != nil && step.Reply.Merged != nil:
		o.late++
	case step.Reply != nil:
		o.refused++
	}
	for _, send := range step.Sends {
		o.sends++
		o.schedule(now+overloadDelay, func(now time.Duration) { o.arrive(state, send, arrived, now) })
	}
	if !step.NextTick.IsZero() && step.Reply == nil {
		o.schedule(max(step.NextTick.Sub(start), now), func(now time.Duration) {
			if !state.Decided() {
				o.execute(state, state.Tick(at(now)), arrived, now)
			}
		})
	}
}

// arrive queues a request at its replica, or refuses it.
func (o *overload) arrive(state *gatherer.CallState, send gatherer.Send, arrived, now time.Duration) {
	replica := o.replicas[send.Replica.ID]
	respond := func(response wigeonspindle.Response, verdict wigeonspindle.Verdict, now time.Duration) {
		if o.reports {
			response.Load = wigeonspindle.TargetLoad{Known: true, Running: replica.running, Waiting: len(replica.queue), Slots: overloadSlots}
		}
		o.schedule(now+overloadDelay, func(now time.Duration) {
			exchange := wigeonspindle.Exchange{Verdict: verdict, Sent: true, Response: &response, Took: at(now).Sub(send.SentAt)}
			o.execute(state, state.HandleResult(send, exchange, at(now)), arrived, now)
		})
	}
	if len(replica.queue) >= overloadQueue {
		respond(wigeonspindle.Response{Status: 503, Refused: true}, wigeonspindle.NotRun, now)
		return
	}
	var serve func(now time.Duration)
	serve = func(now time.Duration) {
		replica.running++
		took := time.Duration(replica.slowness * (0.5 + 0.5*o.random.ExpFloat64()) * float64(overloadService))
		o.schedule(now+took, func(now time.Duration) {
			replica.running--
			if len(replica.queue) > 0 {
				next := replica.queue[0]
				replica.queue = replica.queue[1:]
				next(now)
			}
			respond(wigeonspindle.Response{Status: 200, Signature: "s", Body: make([]byte, 16)}, wigeonspindle.Ran, now)
		})
	}
	if replica.running < overloadSlots {
		serve(now)
		return
	}
	replica.queue = append(replica.queue, serve)
}

// playOverload plays calls at a rate per second for overloadPeriod on hosts that begin without knowledge.
func playOverload(perSecond float64, slow int, reports bool) *overload {
	const hosts, shards = 6, 10
	o := &overload{replicas: make(map[string]*queuedReplica), random: rand.New(rand.NewPCG(11, 12)), reports: reports}
	var fleet []*harness
	for i := range hosts {
		h := newHarness(shards)
		h.route.Aim, h.route.Timeout, h.route.Coverage = 120*time.Millisecond, 1200*time.Millisecond, 0.9
		h.Selector = &selector.Selector{Domain: "a", Random: rand.New(rand.NewPCG(uint64(i), 1))}
		h.Throttler = &throttler.Throttler{Random: rand.New(rand.NewPCG(uint64(i), 2))}
		h.deployment.ServingPeers = make([]wigeonspindle.Peer, hosts)
		fleet = append(fleet, h)
	}
	for i, pool := range fleet[0].route.Shards {
		for j, replica := range fleet[0].deployment.Replicas[pool] {
			o.replicas[replica.ID] = &queuedReplica{slowness: 1}
			if j == 0 && i < slow {
				o.replicas[replica.ID].slowness = 4
			}
		}
	}
	for now := time.Duration(0); now < overloadPeriod; now += time.Duration(o.random.ExpFloat64() * float64(time.Second) / perSecond) {
		host := fleet[o.random.IntN(hosts)]
		o.schedule(now, func(now time.Duration) {
			call := &wigeonspindle.Call{ID: "c", Arrived: at(now), CallerTimeout: 1200 * time.Millisecond}
			host.Deployment = host.deployment
			state, step := host.StartCall(call, host.route, at(now))
			o.execute(state, step, now, now)
		})
	}
	for len(o.events) > 0 {
		next := heap.Pop(&o.events).(event)
		next.run(next.at)
	}
	return o
}

// TestOverload guards against calls that are admitted although the replicas' queues are so long that the answers
// come after the objective: at twice the load that the replicas can bear, three quarters of what they can finish
// is to be answered in time, and the rest refused, mostly before any send.
func TestOverload(t *testing.T) {
	perSlot := float64(time.Second) / float64(overloadService)
	for _, test := range []struct {
		slow     int
		capacity float64 // capacity is the number of calls a second that the slowest shard can finish.
	}{
		{slow: 0, capacity: 2 * overloadSlots * perSlot},
		{slow: 3, capacity: (1 + 0.25) * overloadSlots * perSlot}, // One of two replicas is four times slower.
	} {
		without, with := playOverload(2*test.capacity, test.slow, false), playOverload(2*test.capacity, test.slow, true)
		t.Logf("%d shards with a slow replica: in time %d, late %d, refused %d, sends %d without reports; %d, %d, %d, %d with",
			test.slow, without.inTime, without.late, without.refused, without.sends, with.inTime, with.late, with.refused, with.sends)
		if got, want := with.inTime, int(test.capacity*overloadPeriod.Seconds()*3/4); got < want {
			t.Errorf("calls in time, %d shards with a slow replica: got %d, want at least %d", test.slow, got, want)
		}
		if got, most := with.late, with.inTime/4; got > most {
			t.Errorf("late calls, %d shards with a slow replica: got %d, want at most %d", test.slow, got, most)
		}
		if got, most := with.sends, without.sends; got > most {
			t.Errorf("sends, %d shards with a slow replica: got %d, want at most the %d without reports", test.slow, got, most)
		}
	}
}

// TestWithinCapacity guards against calls that are refused although the replicas can bear the load.
func TestWithinCapacity(t *testing.T) {
	o := playOverload(120, 0, true)
	total := o.inTime + o.late + o.refused
	if got, most := o.refused, total/100; got > most {
		t.Errorf("refused calls at half of the capacity: got %d of %d, want at most %d", got, total, most)
	}
	if got, least := o.inTime, total*9/10; got < least {
		t.Errorf("calls in time at half of the capacity: got %d of %d, want at least %d", got, total, least)
	}
}

// TestQueueOfSlowShards guards against refusing all calls because a few shards, which a call may miss, have long
// queues.
func TestQueueOfSlowShards(t *testing.T) {
	h := newHarness(8) // Two shards may be missing.
	load := wigeonspindle.TargetLoad{Known: true, Running: 2, Waiting: 11, Slots: 2}
	for i, pool := range slices.Clone(h.route.Shards)[:2] {
		for j, replica := range h.deployment.Replicas[pool] {
			h.Selector.RecordSend(replica, at(0))
			exchange := part("s", 100*time.Millisecond)
			exchange.Response.Load = load
			h.Selector.RecordResult(replica, at(0), 20*time.Millisecond, exchange, at(time.Duration(i+j)*time.Millisecond))
		}
	}
	if _, step := h.call(10 * time.Millisecond); step.Reply != nil {
		t.Errorf("call while two of eight shards have long queues: got %+v, want it sent", step.Reply.Refusal)
	}
}
