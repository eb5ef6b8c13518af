package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

// identity returns a fingerprint of the calls of one caller.
func identity(hash uint64) quarantiner.Fingerprint { return quarantiner.Fingerprint{Hash: hash} }

// identities returns the fingerprints of a call of one caller.
func identities(hashes ...uint64) []quarantiner.Fingerprint {
	fingerprints := make([]quarantiner.Fingerprint, 0, len(hashes))
	for _, hash := range hashes {
		fingerprints = append(fingerprints, identity(hash))
	}
	return fingerprints
}

// callOf returns the fingerprints of the same order of a caller.
func callOf(caller string) []quarantiner.Fingerprint {
	return quarantiner.Fingerprints(&wigeonspindle.Call{
		Caller: caller, Method: "POST", Authority: "shop.example", RequestURI: "/order/x", Body: []byte("crate"),
	})
}

// TestCallers guards against a crashing call that is not recognised because it comes from another caller each time,
// and against refusing the calls of all callers because those of one crash replicas or because replicas are lost
// at the same time for another reason.
func TestCallers(t *testing.T) {
	crash := func(c *quarantiner.CrashCorrelator, caller, target string, at time.Time) {
		c.RecordFailedSend(callOf(caller), "p", target, quarantiner.Isolated, at)
		c.RecordUnreachable(target, at)
	}
	for _, test := range []struct {
		name string
		run  func(c *quarantiner.CrashCorrelator)
		want map[string]bool // want holds whether the call of a caller is refused.
	}{
		{"each crash is of another caller", func(c *quarantiner.CrashCorrelator) {
			crash(c, "10.0.0.1", "t1", epoch)
			crash(c, "10.0.0.2", "t2", epoch.Add(time.Second))
		}, map[string]bool{"10.0.0.1": true, "10.0.0.3": true}},
		{"several callers at each replica", func(c *quarantiner.CrashCorrelator) {
			for i, target := range []string{"t1", "t2"} {
				at := epoch.Add(time.Duration(i) * time.Second)
				c.RecordFailedSend(callOf(fmt.Sprintf("10.0.1.%d", i)), "p", target, quarantiner.Isolated, at)
				crash(c, fmt.Sprintf("10.0.0.%d", i), target, at)
			}
		}, map[string]bool{"10.0.0.9": true}},
		{"many replicas are lost at once", func(c *quarantiner.CrashCorrelator) {
			for i := range 20 {
				crash(c, fmt.Sprintf("10.0.0.%d", i), fmt.Sprintf("t%d", i), epoch.Add(time.Duration(i)*20*time.Millisecond))
			}
		}, map[string]bool{"10.0.0.0": false, "10.0.0.30": false}},
		{"many replicas are lost at once, twice, with answers in between", func(c *quarantiner.CrashCorrelator) {
			for wave := range 2 {
				at := epoch.Add(time.Duration(wave) * 3 * time.Second)
				for i := range 20 {
					crash(c, fmt.Sprintf("10.0.%d.%d", wave, i), fmt.Sprintf("t%d-%d", wave, i), at.Add(time.Duration(i)*20*time.Millisecond))
				}
				c.RecordAnswer(callOf("10.0.0.40"), "p", "t-other", at.Add(time.Second))
			}
		}, map[string]bool{"10.0.0.0": false, "10.0.0.30": false}},
		{"the calls of one caller crash, those of others are answered", func(c *quarantiner.CrashCorrelator) {
			for i, target := range []string{"t1", "t2"} {
				at := epoch.Add(time.Duration(i) * time.Second)
				crash(c, "10.0.0.1", target, at)
				c.RecordAnswer(callOf("10.0.0.2"), "p", "t3", at.Add(100*time.Millisecond))
			}
		}, map[string]bool{"10.0.0.1": true, "10.0.0.2": false, "10.0.0.3": false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: 64}, SuspicionTTL: expiry}
			test.run(c)
			for caller, want := range test.want {
				if got := !c.QuarantinedUntil(callOf(caller), epoch.Add(10*time.Second)).IsZero(); got != want {
					t.Errorf("call of %s: got refused %t, want %t", caller, got, want)
				}
			}
		})
	}
}

// TestCommonCause guards against hosts that refuse a call of many callers because each of them has lost one at
// the same moment.
func TestCommonCause(t *testing.T) {
	content := quarantiner.Fingerprint{Hash: 1, Wide: true}
	host := &quarantiner.Quarantiner{MaxSuspects: 8}
	record := func(number int, at time.Time) {
		other := &quarantiner.Quarantiner{MaxSuspects: 8}
		suspicion, _ := other.RecordCrash(content, "p", fmt.Sprintf("t%d", number), 1, true, expiry, at)
		host.Merge(suspicion, at)
	}
	for i := range 10 {
		record(i, epoch.Add(time.Duration(9-i)*40*time.Millisecond))
	}
	if got, want := host.State(content.Hash, epoch.Add(time.Second)), quarantiner.Suspect; got != want {
		t.Errorf("after ten crashes within 360 ms: got state %d, want %d", got, want)
	}
	record(10, epoch.Add(time.Second))
	if got, want := host.State(content.Hash, epoch.Add(time.Second)), quarantiner.Quarantined; got != want {
		t.Errorf("after a crash 1 s later: got state %d, want %d", got, want)
	}
}
