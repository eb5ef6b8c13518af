package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

// trialFleet is several hosts that share suspicions through a registry.
type trialFleet struct {
	registry map[string]wigeonspindle.Suspicion
	hosts    []*quarantiner.CrashCorrelator
}

func newTrialFleet(hosts int) *trialFleet {
	f := &trialFleet{registry: make(map[string]wigeonspindle.Suspicion)}
	for i := range hosts {
		f.hosts = append(f.hosts, newTrialHost(fmt.Sprintf("h%d", i)))
	}
	return f
}

func newTrialHost(name string) *quarantiner.CrashCorrelator {
	return &quarantiner.CrashCorrelator{Quarantiner: &quarantiner.Quarantiner{MaxSuspects: 64}, SuspicionTTL: expiry, Host: name}
}

// report enters reports of a host as the registry does, and has all hosts read it.
func (f *trialFleet) report(reports []wigeonspindle.Suspicion, now time.Time) {
	for _, report := range reports {
		_, taken := f.registry[report.Name()]
		switch {
		case report.Cleared:
			delete(f.registry, report.Name())
		case !report.Trial() || !taken:
			f.registry[report.Name()] = report
		}
	}
	held := make([]wigeonspindle.Suspicion, 0, len(f.registry))
	for _, suspicion := range f.registry {
		held = append(held, suspicion)
	}
	var refuted []wigeonspindle.Suspicion
	for _, host := range f.hosts {
		refuted = append(refuted, host.Quarantiner.Sync(held, now)...)
	}
	if len(refuted) > 0 {
		f.report(refuted, now)
	}
}

// crash reports that a target ended under a call at a host.
func (f *trialFleet) crash(host int, call []quarantiner.Fingerprint, target string, now time.Time) {
	f.hosts[host].RecordFailedSend(call, "p", target, quarantiner.Isolated, now)
	f.report(f.hosts[host].RecordUnreachable(target, now), now)
}

// admit admits a call at a host, whose claims the registry takes, and reports whether it is sent.
func (f *trialFleet) admit(host int, call []quarantiner.Fingerprint, now time.Time) bool {
	admission := f.hosts[host].Admit(call, func(pool string) bool { return pool == "p" }, now)
	f.report(admission.Claims, now)
	if !admission.RefusedUntil.IsZero() {
		return false
	}
	f.hosts[host].UseTrials(admission.Trials)
	return true
}

// lookup returns the fingerprints of a call with a query.
func lookup(caller, query string) []quarantiner.Fingerprint {
	return quarantiner.Fingerprints(&wigeonspindle.Call{Caller: caller, Method: "GET", Authority: "shop.example", RequestURI: "/lookup/x?q=" + query})
}

// TestTrialEndsQuarantine guards against calls that all hosts refuse for the whole quarantine although they crash
// nothing, also at hosts that start later, and against two hosts that make the same trial.
func TestTrialEndsQuarantine(t *testing.T) {
	f := newTrialFleet(3)
	for i := range 2 { // Two other calls of the path are lost with replicas at two moments.
		f.crash(i, lookup("10.0.0.1", fmt.Sprint(i)), fmt.Sprintf("t%d", i), epoch.Add(time.Duration(i)*5*time.Second))
	}
	now := epoch.Add(6 * time.Second)
	call := func(i int) []quarantiner.Fingerprint {
		return lookup(fmt.Sprintf("10.0.1.%d", i), fmt.Sprint("sound", i))
	}
	for i := range f.hosts {
		if f.admit(i, call(i), now) {
			t.Fatalf("call at host %d: got admitted, want refused until a trial", i)
		}
	}
	f.hosts[1] = newTrialHost("h1") // It is replaced before it has used a claim.
	f.report(nil, now)
	admitted := make(map[int]bool)
	for round := range 20 {
		now = now.Add(time.Second)
		for i := range f.hosts {
			if f.admit(i, call(100*round+i), now) {
				admitted[i] = true
			}
		}
		if len(admitted) > 0 {
			break
		}
	}
	if got, want := len(admitted), 1; got != want {
		t.Fatalf("hosts that make the trial: got %d, want %d", got, want)
	}
	for i := range admitted {
		f.report(f.hosts[i].RecordAnswer(call(7), "p", "t9", now), now)
	}
	f.hosts = append(f.hosts, newTrialHost("late"))
	f.report(nil, now)
	for i := range f.hosts {
		if !f.admit(i, call(i), now) {
			t.Errorf("call at host %d after the answer: got refused, want admitted", i)
		}
	}
	path := call(0)[3]
	for name, suspicion := range f.registry {
		if suspicion.Fingerprint == path.Hash {
			t.Errorf("entry against all calls of the path after the answer: got %s, want none", name)
		}
	}
}

// TestTrialBound guards against a call that crashes targets and is let through again and again, by one host after the
// other or by hosts that have just started.
func TestTrialBound(t *testing.T) {
	const allowed = 2 // One less than the sends that are tolerated later than 4 s after the third crash.
	for _, test := range []struct {
		name string
		call func(i int) []quarantiner.Fingerprint
		want int
	}{
		{"of many callers", func(i int) []quarantiner.Fingerprint { return lookup(fmt.Sprintf("10.0.1.%d", i%200), "a") }, allowed},
		{"of many callers, with other queries", func(i int) []quarantiner.Fingerprint { return lookup(fmt.Sprintf("10.0.1.%d", i%200), fmt.Sprint(i)) }, allowed},
		{"of one caller, with other queries", func(i int) []quarantiner.Fingerprint { return lookup("10.0.1.1", fmt.Sprint(i)) }, allowed},
		{"of one caller", func(int) []quarantiner.Fingerprint { return lookup("10.0.1.1", "a") }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTrialFleet(5)
			for i := range 2 {
				f.crash(i, test.call(i), fmt.Sprintf("t%d", i), epoch.Add(time.Duration(i)*5*time.Second))
			}
			admitted := 0
			for i := 2; i < 1900; i++ { // Until shortly before the first crash expires.
				now := epoch.Add(5*time.Second + time.Duration(i)*300*time.Millisecond)
				host := i % len(f.hosts)
				if f.admit(host, test.call(i), now) {
					admitted++
					f.crash(host, test.call(i), fmt.Sprintf("t%d", i), now)
				}
				if i%17 == 0 {
					f.hosts[i%3] = newTrialHost("h" + fmt.Sprint(i%3))
					f.report(nil, now)
				}
			}
			if got := admitted; got > test.want {
				t.Errorf("calls let through: got %d, want at most %d", got, test.want)
			}
		})
	}
}

// TestTrialReturned guards against a trial that is lost because its call reached no target.
func TestTrialReturned(t *testing.T) {
	f := newTrialFleet(1)
	for i := range 2 {
		f.crash(0, lookup("10.0.0.1", fmt.Sprint(i)), fmt.Sprintf("t%d", i), epoch.Add(time.Duration(i)*5*time.Second))
	}
	now := epoch.Add(7 * time.Second)
	call := lookup("10.0.1.1", "sound")
	f.admit(0, call, now)
	unreachable := f.hosts[0].Admit(call, func(string) bool { return false }, now)
	if unreachable.RefusedUntil.IsZero() {
		t.Errorf("call without a usable target: got admitted, want refused")
	}
	admission := f.hosts[0].Admit(call, func(string) bool { return true }, now)
	if !admission.RefusedUntil.IsZero() || len(admission.Trials) == 0 {
		t.Fatalf("call under the trial: got %+v, want admitted", admission)
	}
	f.hosts[0].UseTrials(admission.Trials)
	if f.admit(0, call, now) {
		t.Error("second call: got admitted, want refused while the first one is under way")
	}
	f.hosts[0].ReturnTrials(admission.Trials, now)
	if !f.admit(0, call, now) {
		t.Error("call after the trial was returned: got refused, want admitted")
	}
}

// TestRefutedByAnswers guards against a host that refuses calls which it has just had answered, because another host
// without answers suspects them.
func TestRefutedByAnswers(t *testing.T) {
	f := newTrialFleet(2)
	f.hosts[1].RecordAnswer(lookup("10.0.1.1", "sound"), "p", "t9", epoch.Add(4*time.Second))
	var reports []wigeonspindle.Suspicion
	for i := range 2 { // The first host reports both at once.
		now := epoch.Add(time.Duration(i) * 5 * time.Second)
		target := fmt.Sprintf("t%d", i)
		f.hosts[0].RecordFailedSend(lookup("10.0.0.1", fmt.Sprint(i)), "p", target, quarantiner.Isolated, now)
		reports = append(reports, f.hosts[0].RecordUnreachable(target, now)...)
	}
	f.report(reports, epoch.Add(5*time.Second))
	for i := range f.hosts {
		if !f.admit(i, lookup("10.0.1.2", "other"), epoch.Add(5*time.Second)) {
			t.Errorf("another call at host %d: got refused, want admitted", i)
		}
	}
}

// TestNoTrialAfterManyCrashes guards against trials of a call that has crashed targets for many callers: each of them is
// one of the three further sends that are tolerated, and the hosts may have made others by then.
func TestNoTrialAfterManyCrashes(t *testing.T) {
	f := newTrialFleet(3)
	call := func(i int) []quarantiner.Fingerprint { return callOf(fmt.Sprintf("10.0.0.%d", i)) }
	for i := range 4 {
		f.crash(i%3, call(i), fmt.Sprintf("t%d", i), epoch.Add(time.Duration(i)*5*time.Second/2))
	}
	for i := range 100 {
		if f.admit(i%3, call(10+i), epoch.Add(10*time.Second+time.Duration(i)*time.Second)) {
			t.Fatalf("call %d after four crashes: got admitted, want refused", i)
		}
	}
}
