package dispatcher_test

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/budgeter"
	"wigeonspindle.example/wigeonspindle/internal/coordination/gatherer"
	"wigeonspindle.example/wigeonspindle/internal/coordination/hedger"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
	"wigeonspindle.example/wigeonspindle/internal/coordination/selector"
	"wigeonspindle.example/wigeonspindle/internal/coordination/throttler"
	"wigeonspindle.example/wigeonspindle/internal/transport/dispatcher"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// waitTimeout bounds the wait for the dispatcher to act.
const waitTimeout = 10 * time.Second

// countingClock counts the calls to Now.
type countingClock struct{ calls atomic.Int64 }

func (c *countingClock) Now() time.Time {
	c.calls.Add(1)
	return time.Now()
}

// dialect encodes the method and the URI of a call as an HTTP/1.1 request.
type dialect struct{}

func (dialect) RequestHeader(buffer []byte, call *wigeonspindle.Call, _ *wigeonspindle.Replica, _ time.Duration) []byte {
	return append(buffer, call.Method+" "+call.RequestURI+" HTTP/1.1\r\nHost: h\r\n\r\n"...)
}

func (dialect) Response(response *http.Response, body []byte) *wigeonspindle.Response {
	return &wigeonspindle.Response{Status: response.StatusCode, Body: body, Signature: response.Header.Get("Seal")}
}

// meter discards all measurements.
type meter struct{}

func (meter) ObserveReply(string, string, time.Duration) {}
func (meter) ObserveCoverage(string, int, int)           {}
func (meter) CountSend(string, wigeonspindle.SendKind)   {}

// crashingTarget starts a target that stops listening and closes the connection on its first
// request, as a crashing replica does. It returns the address of the target.
func crashingTarget(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", simulator.ReservedAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_ = listener.Close()
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// newDispatcher returns a dispatcher that sends its reports of suspicions to a channel.
func newDispatcher(clock wigeonspindle.Clock, reports chan<- wigeonspindle.Suspicion) *dispatcher.Dispatcher {
	random := rand.New(rand.NewPCG(1, 2))
	return &dispatcher.Dispatcher{
		Self: wigeonspindle.Peer{Name: "h"}, Clock: clock, Dialect: dialect{}, Meter: meter{}, Logger: log.New(io.Discard),
		ReportSuspicion: func(suspicion wigeonspindle.Suspicion) {
			select {
			case reports <- suspicion:
			default: // The channel holds as many reports as the test needs.
			}
		},
		Gatherer: &gatherer.Gatherer{
			Selector:     &selector.Selector{Host: "h", Domain: "a", Random: random},
			Throttler:    &throttler.Throttler{Random: random},
			Correlator:   &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: 8}, SuspicionTTL: time.Minute},
			Budget:       &budgeter.Budgeter{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
			NewEstimator: func() wigeonspindle.LatencyEstimator { return &hedger.Estimator{} },
		},
	}
}

// orderDeployment returns a deployment whose only route sends each call to one replica, once.
func orderDeployment(replicas ...*wigeonspindle.Replica) *wigeonspindle.DeploymentState {
	return &wigeonspindle.DeploymentState{
		RegistrySeen: time.Now(),
		Catalog: &wigeonspindle.Catalog{
			Version: 1, Pools: map[string]wigeonspindle.Pool{"pool": {Name: "pool", Connections: 10}},
			Routes: []wigeonspindle.Route{{
				Name: "order", Authority: "h", Prefix: "/", Class: wigeonspindle.ClassOnce, Timeout: time.Second, Aim: time.Second,
				Attempts: 2, Split: []wigeonspindle.Share{{Pool: "pool", Weight: 1}},
			}},
		},
		Replicas: map[string][]*wigeonspindle.Replica{"pool": replicas},
	}
}

// crashingCall returns the call of crashReplica.
func crashingCall() *wigeonspindle.Call {
	return &wigeonspindle.Call{ID: "c", Caller: "192.0.2.1", Method: http.MethodPost, Authority: "h", Path: "/x", RequestURI: "/x", Arrived: time.Now()}
}

// crashReplica sends a call until a replica has crashed on it, and returns the reply.
func crashReplica(d *dispatcher.Dispatcher) wigeonspindle.CallReply {
	var reply wigeonspindle.CallReply
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if reply = d.Handle(context.Background(), crashingCall()); reply.Refusal != nil && reply.Refusal.Verdict == wigeonspindle.MayHaveRun {
			break // The deployment state has arrived and the replica has crashed.
		}
	}
	return reply
}

// TestSuspicionEnds guards against a dispatcher that spins after it has reported a suspicion.
func TestSuspicionEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := &countingClock{}
	reports := make(chan wigeonspindle.Suspicion, 8)
	d := newDispatcher(clock, reports)
	d.Run()
	defer d.Close()
	d.UpdateDeployment(orderDeployment(&wigeonspindle.Replica{ID: "r", Pool: "pool", Address: crashingTarget(t), Domain: "a", Slots: 2}))
	reply := crashReplica(d)
	select {
	case <-reports:
	case <-time.After(waitTimeout):
		t.Fatalf("suspicion report after refusal %+v: got none, want one", reply.Refusal)
	}
	before := clock.calls.Load()
	time.Sleep(100 * time.Millisecond)
	if got, most := clock.calls.Load()-before, int64(1000); got > most {
		t.Errorf("clock reads of an idle dispatcher in 100 ms: got %d, want at most %d", got, most)
	}
}

// TestReportOfQuarantine guards against a quarantine of which the registry holds only the first
// crash, because a delayed report replaces a later one.
func TestReportOfQuarantine(t *testing.T) {
	defer goleak.VerifyNone(t)
	reports := make(chan wigeonspindle.Suspicion, 8)
	d := newDispatcher(&countingClock{}, reports)
	d.Run()
	defer d.Close()
	d.UpdateDeployment(orderDeployment(
		&wigeonspindle.Replica{ID: "r1", Pool: "pool", Address: crashingTarget(t), Domain: "a", Slots: 2},
		&wigeonspindle.Replica{ID: "r2", Pool: "pool", Address: crashingTarget(t), Domain: "a", Slots: 2},
	))
	crashReplica(d)
	crashReplica(d)
	registry := make(map[string]wigeonspindle.Suspicion)
	for settled := false; !settled; {
		select {
		case suspicion := <-reports:
			registry[suspicion.Name()] = suspicion
		case <-time.After(time.Second): // A report is delayed by half a second.
			settled = true
		}
	}
	other := &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: 8}}
	for _, suspicion := range registry {
		other.Quarantiner.Merge(suspicion, time.Now())
	}
	if until := other.QuarantinedUntil(quarantiner.Fingerprints(crashingCall()), time.Now()); until.IsZero() {
		t.Errorf("call at a host that reads the registry %+v: got accepted, want refused", registry)
	}
}

// TestExpiredSuspicions guards against suspicions that fill the registry after they have expired, and
// against the removal of valid ones or by several hosts.
func TestExpiredSuspicions(t *testing.T) {
	defer goleak.VerifyNone(t)
	valid := wigeonspindle.Suspicion{Fingerprint: 1, Crash: "a", Score: 1, Expires: time.Now().Add(time.Hour)}
	expired := wigeonspindle.Suspicion{Fingerprint: 1, Crash: "b", Score: 1, Expires: time.Now().Add(-time.Second)}
	for first, want := range map[string]int{"h": 1, "a": 0} {
		reports := make(chan wigeonspindle.Suspicion, 8)
		d := newDispatcher(&countingClock{}, reports)
		d.Run()
		deployment := orderDeployment()
		deployment.ServingPeers = []wigeonspindle.Peer{{Name: first}, {Name: "z"}}
		deployment.Suspicions = []wigeonspindle.Suspicion{valid, expired}
		d.UpdateDeployment(deployment)
		time.Sleep(100 * time.Millisecond)
		d.Close()
		if got := len(reports); got != want {
			t.Fatalf("reports where the first host is %q: got %d, want %d", first, got, want)
		}
		if want == 1 {
			if got := <-reports; !got.Cleared || got.Name() != expired.Name() {
				t.Errorf("report: got %+v, want the removal of %s", got, expired.Name())
			}
		}
	}
}

// blockedDialect blocks the dispatcher until it is released.
type blockedDialect struct {
	dialect
	release chan struct{}
}

func (b blockedDialect) RequestHeader(buffer []byte, call *wigeonspindle.Call, replica *wigeonspindle.Replica, remaining time.Duration) []byte {
	<-b.release
	return b.dialect.RequestHeader(buffer, call, replica, remaining)
}

// logLines counts the lines of a log that contain a text.
type logLines struct {
	text  string
	count atomic.Int32
}

func (l *logLines) Write(line []byte) (int, error) {
	if strings.Contains(string(line), l.text) {
		l.count.Add(1)
	}
	return len(line), nil
}

// TestQueueFull guards against calls that are refused without a log line because the dispatcher is behind.
func TestQueueFull(t *testing.T) {
	const calls = 400 // The queue holds 256.
	lines := &logLines{text: "call queue is full"}
	d := newDispatcher(&countingClock{}, make(chan wigeonspindle.Suspicion, 8))
	blocked := blockedDialect{release: make(chan struct{})}
	d.Dialect, d.Logger = blocked, log.New(lines)
	d.Run()
	d.UpdateDeployment(orderDeployment(&wigeonspindle.Replica{ID: "r", Pool: "pool", Address: crashingTarget(t), Domain: "a", Slots: 2}))
	time.Sleep(50 * time.Millisecond)
	var refused atomic.Int32
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			call := &wigeonspindle.Call{ID: "c", Caller: "192.0.2.1", Method: http.MethodPost, Authority: "h", Path: "/x", RequestURI: "/x", Arrived: time.Now()}
			if reply := d.Handle(context.Background(), call); reply.Refusal != nil && reply.Refusal.Code == wigeonspindle.CodeOverloaded {
				refused.Add(1)
			}
		})
	}
	for deadline := time.Now().Add(waitTimeout); lines.count.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	close(blocked.release)
	running.Wait()
	d.Close()
	if got := lines.count.Load(); got == 0 || got > refused.Load() {
		t.Errorf("log lines of calls refused at a full queue: got %d, want one for each, at most %d", got, refused.Load())
	}
}

// TestUnlistedSuspicions guards against a call that crashes replicas and is served by hosts that start later, because the
// registry came back from a copy and the host that had reported the call is gone, and against all hosts reporting it.
func TestUnlistedSuspicions(t *testing.T) {
	defer goleak.VerifyNone(t)
	suspicion := wigeonspindle.Suspicion{Fingerprint: 1, Crash: "a", Score: 1, Expires: time.Now().Add(time.Hour)}
	peers := func(before int) []wigeonspindle.Peer {
		list := make([]wigeonspindle.Peer, before, before+1)
		return append(list, wigeonspindle.Peer{Name: "h"})
	}
	for _, test := range []struct {
		name   string
		before int  // before is the number of serving hosts before this one.
		listed bool // listed says that the registry holds the suspicion again soon after.
		want   int
	}{
		{"first host", 0, false, 1},
		{"one of many hosts", 100, false, 1},
		{"another host was faster", 100, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			reports := make(chan wigeonspindle.Suspicion, 8)
			d := newDispatcher(&countingClock{}, reports)
			d.Run()
			deployment := orderDeployment()
			deployment.ServingPeers = peers(test.before)
			deployment.Suspicions, deployment.UnlistedSuspicions = []wigeonspindle.Suspicion{suspicion}, []wigeonspindle.Suspicion{suspicion}
			d.UpdateDeployment(deployment)
			time.Sleep(100 * time.Millisecond)
			next := *deployment
			if test.listed {
				next.UnlistedSuspicions = nil
			}
			d.UpdateDeployment(&next)
			time.Sleep(1200 * time.Millisecond)
			d.Close()
			if got := len(reports); got != test.want {
				t.Errorf("reports within 1.3 s: got %d, want %d", got, test.want)
			}
		})
	}
}
