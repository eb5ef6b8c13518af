package quarantiner_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

// TestEvidence guards against missing a request that crashes targets and against quarantining
// one that only ran on a target that failed for another reason.
func TestEvidence(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(c *quarantiner.CrashCorrelator)
		want quarantiner.State
	}{
		{"two targets crash one after the other", func(c *quarantiner.CrashCorrelator) {
			c.RecordFailedSend(identities(1), "p", "t1", quarantiner.Isolated, epoch)
			c.RecordUnreachable("t1", epoch.Add(10*time.Millisecond))
			c.RecordFailedSend(identities(1), "p", "t2", quarantiner.Isolated, epoch.Add(time.Second))
			c.RecordUnreachable("t2", epoch.Add(time.Second))
		}, quarantiner.Quarantined},
		{"one target crashes", func(c *quarantiner.CrashCorrelator) {
			c.RecordFailedSend(identities(1), "p", "t1", quarantiner.Isolated, epoch)
			c.RecordUnreachable("t1", epoch)
		}, quarantiner.Suspect},
		{"all targets of a request with many parts are lost at once", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2", "t3", "t4"} {
				c.RecordFailedSend(identities(1), "p", target, quarantiner.Simultaneous, epoch)
			}
			for _, target := range []string{"t1", "t2", "t3", "t4"} {
				c.RecordUnreachable(target, epoch)
			}
		}, quarantiner.Suspect},
		{"the targets still answer", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2", "t3"} {
				c.RecordFailedSend(identities(1), "p", target, quarantiner.Isolated, epoch)
				c.RecordReachable(target, epoch.Add(time.Millisecond))
				c.RecordUnreachable(target, epoch)
			}
		}, quarantiner.Clear},
		{"the targets answer, and end a moment later", func(c *quarantiner.CrashCorrelator) {
			for i, target := range []string{"t1", "t2"} {
				failedAt := epoch.Add(time.Duration(i) * time.Second / 2)
				c.RecordFailedSend(identities(1), "p", target, quarantiner.Isolated, failedAt)
				c.RecordReachable(target, failedAt.Add(time.Millisecond))
				c.RecordEnded(target, failedAt.Add(500*time.Millisecond))
			}
		}, quarantiner.Quarantined},
		{"the targets run on after the host has given up, and end", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2"} {
				c.RecordAbandonedSend(identities(1), "p", target, quarantiner.Isolated, epoch.Add(4*time.Second), epoch)
				c.RecordReachable(target, epoch.Add(time.Millisecond))
				c.RecordEnded(target, epoch.Add(5*time.Second))
			}
		}, quarantiner.Quarantined},
		{"the network is cut after the host has given up", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2", "t3", "t4"} {
				c.RecordAbandonedSend(identities(1), "p", target, quarantiner.Isolated, epoch.Add(4*time.Second), epoch)
				c.RecordUnreachable(target, epoch.Add(time.Second))
			}
		}, quarantiner.Clear},
		{"the targets end long after the deadline", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2"} {
				c.RecordAbandonedSend(identities(1), "p", target, quarantiner.Isolated, epoch.Add(time.Second), epoch)
				c.RecordEnded(target, epoch.Add(time.Minute))
			}
		}, quarantiner.Clear},
		{"one end is seen twice", func(c *quarantiner.CrashCorrelator) {
			c.RecordFailedSend(identities(1), "p", "t1", quarantiner.Isolated, epoch)
			c.RecordUnreachable("t1", epoch)
			c.RecordEnded("t1", epoch)
		}, quarantiner.Suspect},
		{"the targets answer what they received before they crashed", func(c *quarantiner.CrashCorrelator) {
			for i, target := range []string{"t1", "t2"} {
				brokenAt := epoch.Add(time.Duration(i) * time.Second)
				c.RecordFailedSend(identities(1), "p", target, quarantiner.Isolated, brokenAt)
				c.RecordReachable(target, brokenAt.Add(-time.Millisecond))
				c.RecordUnreachable(target, brokenAt.Add(10*time.Millisecond))
			}
		}, quarantiner.Quarantined},
		{"the targets are lost much later", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2", "t3"} {
				c.RecordFailedSend(identities(1), "p", target, quarantiner.Isolated, epoch)
				c.RecordUnreachable(target, epoch.Add(time.Minute))
			}
		}, quarantiner.Clear},
		{"another target answers before the loss is known", func(c *quarantiner.CrashCorrelator) {
			c.RecordFailedSend(identities(1), "p", "t1", quarantiner.Isolated, epoch)
			c.RecordAnswer(identities(1), "p", "t2", epoch)
			c.RecordUnreachable("t1", epoch)
		}, quarantiner.Clear},
		{"another target answers after the loss", func(c *quarantiner.CrashCorrelator) {
			c.RecordFailedSend(identities(1), "p", "t1", quarantiner.Isolated, epoch)
			c.RecordUnreachable("t1", epoch)
			if got := c.RecordAnswer(identities(1), "p", "t2", epoch); len(got) != 1 || !got[0].Cleared {
				t.Errorf("cleared suspect: got the suspicions %+v to send, want a cleared one", got)
			}
		}, quarantiner.Clear},
		{"the targets of one shard crash and those of another answer", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2"} {
				c.RecordFailedSend(identities(1), "p", target, quarantiner.Isolated, epoch)
				c.RecordAnswer(identities(1), "q", "t3", epoch)
				c.RecordUnreachable(target, epoch)
				c.RecordAnswer(identities(1), "q", "t4", epoch)
			}
		}, quarantiner.Quarantined},
		{"other requests ran on the same targets", func(c *quarantiner.CrashCorrelator) {
			for _, target := range []string{"t1", "t2", "t3"} {
				for fingerprint := range uint64(4) {
					c.RecordFailedSend(identities(fingerprint), "p", target, quarantiner.Isolated, epoch)
				}
				c.RecordUnreachable(target, epoch)
			}
		}, quarantiner.Suspect},
		{"each crash loses other requests too", func(c *quarantiner.CrashCorrelator) {
			for i, target := range []string{"t1", "t2", "t3", "t4"} {
				c.RecordFailedSend(identities(1), "p", target, quarantiner.Isolated, epoch)
				for other := range uint64(3) {
					c.RecordFailedSend(identities(100*uint64(i+1)+other), "p", target, quarantiner.Isolated, epoch)
				}
				c.RecordUnreachable(target, epoch)
			}
		}, quarantiner.Quarantined},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: 8}, SuspicionTTL: expiry}
			test.run(c)
			if got := c.Quarantiner.State(1, epoch.Add(time.Second)); got != test.want {
				t.Errorf("state: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestFingerprints guards against a call that is not recognised when it comes again with another
// query, and against a call that is taken for another one on the same path.
func TestFingerprints(t *testing.T) {
	call := func(uri string) *wigeonspindle.Call {
		return &wigeonspindle.Call{Caller: "10.0.0.1", Method: "GET", Authority: "shop.example", RequestURI: uri}
	}
	crash := func(c *quarantiner.CrashCorrelator, uri, target string) {
		c.RecordFailedSend(quarantiner.Fingerprints(call(uri)), "p", target, quarantiner.Isolated, epoch)
		c.RecordUnreachable(target, epoch)
	}
	quarantined := func(c *quarantiner.CrashCorrelator, uri string) bool {
		return !c.QuarantinedUntil(quarantiner.Fingerprints(call(uri)), epoch).IsZero()
	}
	newCorrelator := func() *quarantiner.CrashCorrelator {
		return &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: 8}, SuspicionTTL: expiry}
	}

	c := newCorrelator()
	crash(c, "/search/x", "t1")
	crash(c, "/search/x?page=2", "t2")
	for _, uri := range []string{"/search/x", "/search/x?page=3"} {
		if got, want := quarantined(c, uri), true; got != want {
			t.Errorf("%s after crashes with other queries: got quarantined %t, want %t", uri, got, want)
		}
	}
	if got, want := quarantined(c, "/search/y"), false; got != want {
		t.Errorf("another path: got quarantined %t, want %t", got, want)
	}

	c = newCorrelator()
	for _, target := range []string{"t1", "t2"} {
		crash(c, "/search/?q=crash", target)
		c.RecordAnswer(quarantiner.Fingerprints(call("/search/?q=other")), "p", "t3", epoch)
	}
	for uri, want := range map[string]bool{"/search/?q=crash": true, "/search/?q=other": false} {
		if got := quarantined(c, uri); got != want {
			t.Errorf("%s on a path where other queries are answered: got quarantined %t, want %t", uri, got, want)
		}
	}
}
