package linker_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/recorder"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/linker"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// proxy forwards connections to a backend. After silence, existing connections stay open but
// carry no data, while new connections work.
type proxy struct {
	listener net.Listener
	backend  string
	mutex    sync.Mutex
	silent   []*atomic.Bool
	accepted atomic.Int64
	conns    []net.Conn
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", simulator.ReservedAddress())
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, backend: to}
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.backend)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.accepted.Add(1)
		silent := &atomic.Bool{}
		p.mutex.Lock()
		p.silent = append(p.silent, silent)
		p.conns = append(p.conns, from, to)
		p.mutex.Unlock()
		go forward(from, to, silent)
		go forward(to, from, silent)
	}
}

func forward(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !silent.Load() {
				_ = to.Close()
			}
			return
		}
		if silent.Load() {
			return // Leaves both connections open, so that the kernel's buffers fill.
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, silent := range p.silent {
		silent.Store(true)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// linkEvents records when links go up and down.
type linkEvents struct {
	up, down chan time.Time
}

func (e *linkEvents) Received(wigeonspindle.Envelope, wigeonspindle.ReplyFunc) {}
func (e *linkEvents) Unsent(string, wigeonspindle.Envelope)                    {}
func (e *linkEvents) Up(string)                                                { e.up <- time.Now() }

func (e *linkEvents) Down(string) { e.down <- time.Now() }

func newLinker(t *testing.T, name string, refused func(string, string)) (*linker.Linker, *linkEvents) {
	t.Helper()
	events := &linkEvents{up: make(chan time.Time, 16), down: make(chan time.Time, 16)}
	self := wigeonspindle.Host{Name: name, LinkAddress: unusedAddress(t)}
	l := &linker.Linker{
		Self: self, Clock: timekeeper.SystemClock{}, Handler: events, Logger: log.New(io.Discard), OnConnectionRefused: refused,
		Recorder:  &recorder.Recorder{Clock: timekeeper.SystemClock{}, Host: name, Capacity: 16},
		Heartbeat: func() wigeonspindle.Heartbeat { return wigeonspindle.Heartbeat{Host: self} },
	}
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	return l, events
}

func receive(t *testing.T, events chan time.Time, timeout time.Duration, state string) time.Time {
	t.Helper()
	select {
	case at := <-events:
		return at
	case <-time.After(timeout):
		t.Fatalf("link %s: got no event, want one within %s", state, timeout)
		return time.Time{}
	}
}

// TestSilentLink guards against a link that keeps an unresponsive connection while new
// connections to the same host work, both when the link is idle and when full buffers block
// its writer.
func TestSilentLink(t *testing.T) {
	for name, writing := range map[string]bool{"idle": false, "writing": true} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			a, events := newLinker(t, "a", nil)
			b, _ := newLinker(t, "b", nil)
			p := newProxy(t, b.Self.LinkAddress)
			a.Connect([]wigeonspindle.Host{{Name: "b", LinkAddress: p.listener.Addr().String()}})
			receive(t, events.up, 3*time.Second, "up")
			p.silence()
			silencedAt := time.Now()
			if writing {
				// 64 MB exceed the kernel's socket buffers.
				body := make([]byte, 1<<20)
				for range 64 {
					a.Send("b", wigeonspindle.Envelope{Attempts: []wigeonspindle.Attempt{{Target: "t", Body: body}}})
				}
			}
			down := receive(t, events.down, 6*time.Second, "down")
			up := receive(t, events.up, 6*time.Second, "up again")
			t.Logf("closed %s after the silence began, replaced after %s", down.Sub(silencedAt), up.Sub(silencedAt))
			if got, want := down.Sub(silencedAt), wigeonspindle.LinkSilenceTimeout+2*wigeonspindle.HeartbeatPeriod; got > want {
				t.Errorf("closed after %s, want at most %s", got, want)
			}
			p.close()
			_ = a.Close()
			_ = b.Close()
		})
	}
}

// TestRefused guards against reports that do not distinguish a dead host from a frozen one:
// only the address of a dead host refuses connections.
func TestRefused(t *testing.T) {
	defer goleak.VerifyNone(t)
	refused := make(chan string, 16)
	a, _ := newLinker(t, "a", func(host, _ string) { refused <- host })
	frozen, err := net.Listen("tcp", simulator.ReservedAddress()) // Accepts in the kernel and never answers.
	if err != nil {
		t.Fatal(err)
	}
	a.Connect([]wigeonspindle.Host{{Name: "dead", LinkAddress: unusedAddress(t)}, {Name: "frozen", LinkAddress: frozen.Addr().String()}})
	for range 3 {
		select {
		case got := <-refused:
			if got != "dead" {
				t.Errorf("got a refused connection to host %q, want only the dead host", got)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("got no refused connection, want three to the dead host")
		}
	}
	_ = a.Close()
	_ = frozen.Close()
}

// TestAddresses guards against a host that stays unreachable because one of its known
// addresses is outdated, and against closing a working link when an address changes.
func TestAddresses(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, events := newLinker(t, "a", nil)
	b, _ := newLinker(t, "b", nil)
	outdated := wigeonspindle.Host{Name: "b", LinkAddress: unusedAddress(t)}
	a.Connect([]wigeonspindle.Host{outdated, b.Self})
	receive(t, events.up, 3*time.Second, "up")
	a.Connect([]wigeonspindle.Host{outdated})
	select {
	case <-events.down:
		t.Error("change of addresses: got the working link closed, want it kept")
	case <-time.After(time.Second):
	}
	_ = a.Close()
	_ = b.Close()
}
