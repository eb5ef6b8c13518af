package watcher_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/watcher"
)

// waitTimeout bounds the wait for the reporter to act.
const waitTimeout = 10 * time.Second

// registry is a fake registry that accepts reports, or fails or hangs if told to.
type registry struct {
	wigeonspindle.Registry
	mutex    sync.Mutex
	failures int // failures is the number of further reports that fail.
	hangs    bool
	reported chan wigeonspindle.Suspicion
}

func (r *registry) ReportSuspicion(ctx context.Context, suspicion wigeonspindle.Suspicion) error {
	if r.hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failures > 0 {
		r.failures--
		return errors.New("the registry does not answer")
	}
	r.reported <- suspicion
	return nil
}

func newReporter(r *registry) *watcher.Reporter {
	return &watcher.Reporter{Registry: r, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard)}
}

// TestReporter guards against a suspicion that is lost because the registry failed once.
func TestReporter(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := &registry{failures: 1, reported: make(chan wigeonspindle.Suspicion, 1)}
	reporter := newReporter(r)
	reporter.Run()
	defer reporter.Close()
	want := wigeonspindle.Suspicion{Fingerprint: 7, Score: 1, Expires: time.Now().Add(time.Minute)}
	reporter.Offer(want)
	select {
	case got := <-r.reported:
		if got != want {
			t.Errorf("report: got %+v, want %+v", got, want)
		}
	case <-time.After(waitTimeout):
		t.Error("report after a failure: got none, want one")
	}
}

// TestReporterHangs guards against an Offer or a Close that blocks while the registry does not
// answer.
func TestReporterHangs(t *testing.T) {
	defer goleak.VerifyNone(t)
	reporter := newReporter(&registry{hangs: true})
	reporter.Run()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range uint64(1000) {
			reporter.Offer(wigeonspindle.Suspicion{Fingerprint: i, Expires: time.Now().Add(time.Minute)})
		}
		reporter.Close()
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Error("Offer and Close with a registry that hangs: got blocked, want excess reports dropped")
	}
}

// TestReportAfterOutage guards against suspicions that the other hosts never learn of because the
// registry was unavailable for some seconds.
func TestReportAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &registry{failures: 30, reported: make(chan wigeonspindle.Suspicion, 8)}
		reporter := newReporter(r)
		reporter.Run()
		defer reporter.Close()
		expires := time.Now().Add(time.Hour)
		for i := range uint64(3) {
			reporter.Offer(wigeonspindle.Suspicion{Fingerprint: i, Crash: "a", Score: 1, Expires: expires})
		}
		withdrawn := wigeonspindle.Suspicion{Fingerprint: 0, Crash: "a", Expires: expires, Cleared: true}
		reporter.Offer(withdrawn)
		time.Sleep(time.Minute)
		got := make(map[uint64]wigeonspindle.Suspicion)
		for len(r.reported) > 0 {
			suspicion := <-r.reported
			got[suspicion.Fingerprint] = suspicion
		}
		if len(got) != 3 || !got[0].Cleared || got[1].Score != 1 || got[2].Score != 1 {
			t.Errorf("reports after an outage: got %+v, want all three, the first withdrawn", got)
		}
	})
}

// TestReporterRestore guards against a call that crashes replicas and is served again, or one that is refused again,
// because the registry came back from a copy without what this host had reported.
func TestReporterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &registry{reported: make(chan wigeonspindle.Suspicion, 16)}
		reporter := newReporter(r)
		reporter.Run()
		defer reporter.Close()
		suspicion := func(crash string, ttl time.Duration) wigeonspindle.Suspicion {
			return wigeonspindle.Suspicion{Fingerprint: 7, Crash: crash, Score: 1, Expires: time.Now().Add(ttl)}
		}
		written := func() map[string]bool {
			synctest.Wait()
			got := make(map[string]bool)
			for len(r.reported) > 0 {
				report := <-r.reported
				got[report.Crash] = report.Cleared
			}
			return got
		}
		withdrawn := suspicion("withdrawn", time.Hour)
		for _, report := range []wigeonspindle.Suspicion{suspicion("kept", time.Hour), suspicion("expired", time.Second), withdrawn} {
			reporter.Offer(report)
		}
		written()
		withdrawn.Cleared = true
		reporter.Offer(withdrawn)
		written()
		time.Sleep(2 * time.Second)
		for range 2 {
			reporter.Restore()
			if got, want := written(), map[string]bool{"kept": false, "withdrawn": true}; !maps.Equal(got, want) {
				t.Errorf("crashes written again, and whether they are withdrawn: got %v, want %v", got, want)
			}
		}
		time.Sleep(2 * time.Minute)
		reporter.Restore()
		if got, want := written(), map[string]bool{"kept": false}; !maps.Equal(got, want) {
			t.Errorf("crashes written again 2 min later: got %v, want %v", got, want)
		}
	})
}
