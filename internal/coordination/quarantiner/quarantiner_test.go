package quarantiner_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/quarantiner"
)

var epoch = time.Unix(1_700_000_000, 0)

const expiry = 10 * time.Minute

// TestQuarantine guards against a crashing request that is not quarantined, against a quarantine
// for a crash with other attempts in flight, and against a quarantine that never expires.
func TestQuarantine(t *testing.T) {
	q := &quarantiner.Quarantiner{MaxSuspects: 8}
	checkState := func(name string, fingerprint uint64, now time.Time, want quarantiner.State) {
		t.Helper()
		if got := q.State(fingerprint, now); got != want {
			t.Errorf("%s: got state %d, want %d", name, got, want)
		}
	}
	q.RecordCrash(identity(1), "p", "t0", 2, false, expiry, epoch)
	q.RecordCrash(identity(2), "p", "t0", 2, false, expiry, epoch)
	checkState("shared crash", 1, epoch, quarantiner.Suspect)
	if cleared := q.RecordCompletion(2, "p", "t1", epoch); len(cleared) != 1 || !cleared[0].Cleared {
		t.Errorf("isolated completion: got %+v, want a cleared suspicion", cleared)
	}
	checkState("isolated completion", 2, epoch, quarantiner.Clear)
	q.RecordCrash(identity(1), "p", "t1", 1, true, expiry, epoch)
	checkState("score 1.5", 1, epoch, quarantiner.Suspect)
	q.RecordCrash(identity(1), "p", "t2", 1, true, expiry, epoch)
	checkState("score 2.5", 1, epoch, quarantiner.Quarantined)
	if got := q.RecordCompletion(1, "p", "t3", epoch); len(got) != 0 {
		t.Errorf("quarantined request: got %+v, want it not cleared by a late completion", got)
	}
	other := &quarantiner.Quarantiner{MaxSuspects: 8}
	for _, suspicion := range q.SuspicionsOf(1, epoch) {
		other.Merge(suspicion, epoch)
	}
	for _, suspicion := range q.SuspicionsOf(1, epoch) {
		suspicion.Cleared = true
		other.Merge(suspicion, epoch)
	}
	if got, want := other.State(1, epoch), quarantiner.Quarantined; got != want {
		t.Errorf("received suspicions: got state %d, want %d", got, want)
	}
	other.Merge(wigeonspindle.Suspicion{Fingerprint: 3, Crash: "t1-1", Score: 1, Expires: epoch.Add(expiry)}, epoch)
	other.Merge(wigeonspindle.Suspicion{Fingerprint: 3, Crash: "t1-1", Score: 1, Expires: epoch.Add(expiry)}, epoch)
	if got, want := other.State(3, epoch), quarantiner.Suspect; got != want {
		t.Errorf("suspicion received twice: got state %d, want %d", got, want)
	}
	for range 12 {
		q.RecordCrash(identity(4), "p", "t0", 1, false, expiry, epoch)
	}
	checkState("12 targets lost at once", 4, epoch, quarantiner.Suspect)
	q.RecordCrash(identity(4), "p", "t0", 1, true, expiry, epoch)
	checkState("isolated crash after them", 4, epoch, quarantiner.Quarantined)
	checkState("before expiry", 1, epoch.Add(expiry-1), quarantiner.Quarantined)
	checkState("after expiry", 1, epoch.Add(expiry), quarantiner.Clear)
}

// TestBounds guards against a table that grows with the number of crashing requests and
// against evicting a quarantined fingerprint in favour of a suspect.
func TestBounds(t *testing.T) {
	q := &quarantiner.Quarantiner{MaxSuspects: 4, MinSuccesses: 4}
	q.RecordCrash(identity(1000), "p", "t0", 1, true, expiry, epoch)
	q.RecordCrash(identity(1000), "p", "t0", 1, true, expiry, epoch)
	for fingerprint := range uint64(100) {
		q.RecordCrash(identity(fingerprint), "p", "t0", 3, true, expiry, epoch)
		q.RecordSuccess(fingerprint, epoch)
	}
	if got, want := q.Len(), 4; got != want {
		t.Errorf("suspects: got %d, want %d", got, want)
	}
	if got, want := q.State(1000, epoch), quarantiner.Quarantined; got != want {
		t.Errorf("quarantine in a full table: got state %d, want %d", got, want)
	}
	if q.RecentlySucceeded(1) || !q.RecentlySucceeded(99) {
		t.Error("successes: want the latest kept and the earliest dropped")
	}
	q.RecordCrash(identity(99), "p", "t0", 1, true, expiry, epoch)
	if q.RecentlySucceeded(99) {
		t.Error("crash: want the success dropped, so that a canary runs first again")
	}
}

// TestCrashesAtSeveralHosts guards against a crashing request that every host still takes because
// each of them has seen only one of its crashes.
func TestCrashesAtSeveralHosts(t *testing.T) {
	first, second := &quarantiner.Quarantiner{MaxSuspects: 8}, &quarantiner.Quarantiner{MaxSuspects: 8}
	first.RecordCrash(identity(1), "p", "t1", 1, true, expiry, epoch)
	second.RecordCrash(identity(1), "p", "t2", 1, true, expiry, epoch)
	for _, suspicion := range first.Suspicions(epoch) {
		second.Merge(suspicion, epoch)
	}
	if got, want := second.State(1, epoch), quarantiner.Quarantined; got != want {
		t.Errorf("crash of another host and one of its own: got state %d, want %d", got, want)
	}
	third := &quarantiner.Quarantiner{MaxSuspects: 8}
	for _, host := range []*quarantiner.Quarantiner{first, second} {
		for _, suspicion := range host.Suspicions(epoch) {
			third.Merge(suspicion, epoch)
		}
	}
	if got, want := third.State(1, epoch), quarantiner.Quarantined; got != want {
		t.Errorf("crashes of two other hosts: got state %d, want %d", got, want)
	}
}

// TestSimultaneousCrashes guards against a request that is quarantined because two hosts lost it when
// a failure domain stopped.
func TestSimultaneousCrashes(t *testing.T) {
	host, other := &quarantiner.Quarantiner{MaxSuspects: 8}, &quarantiner.Quarantiner{MaxSuspects: 8}
	for i := range 5 {
		other.RecordCrash(identity(1), "p", string(rune('a'+i)), 1, false, expiry, epoch)
		host.RecordCrash(identity(1), "p", string(rune('p'+i)), 1, false, expiry, epoch)
	}
	if got, want := len(other.Suspicions(epoch)), 1; got != want {
		t.Errorf("suspicions to send: got %d, want %d", got, want)
	}
	for _, suspicion := range other.Suspicions(epoch) {
		host.Merge(suspicion, epoch)
	}
	if got, want := host.State(1, epoch), quarantiner.Suspect; got != want {
		t.Errorf("simultaneous crashes at two hosts: got state %d, want %d", got, want)
	}
}

// TestSync guards against suspicions that outlive their withdrawal by another host, and against a
// quarantine that ends because the registry lost its entries.
func TestSync(t *testing.T) {
	q := &quarantiner.Quarantiner{MaxSuspects: 8}
	suspicion := func(fingerprint uint64, crash string) wigeonspindle.Suspicion {
		return wigeonspindle.Suspicion{Fingerprint: fingerprint, Crash: crash, Pool: "p", Score: 1, Expires: epoch.Add(expiry)}
	}
	checkState := func(name string, fingerprint uint64, want quarantiner.State) {
		t.Helper()
		if got := q.State(fingerprint, epoch); got != want {
			t.Errorf("%s: got state %d, want %d", name, got, want)
		}
	}
	entries := []wigeonspindle.Suspicion{suspicion(1, "a"), suspicion(2, "a"), suspicion(2, "b"), suspicion(3, "a")}
	q.Sync(entries, epoch)
	q.Sync(entries, epoch)
	checkState("one crash", 1, quarantiner.Suspect)
	checkState("two crashes", 2, quarantiner.Quarantined)
	q.RecordCompletion(3, "p", "t", epoch)
	q.Sync(entries, epoch)
	checkState("withdrawn by this host, not yet by the registry", 3, quarantiner.Clear)
	q.RecordCrash(identity(4), "p", "t", 1, true, expiry, epoch)
	q.Sync(nil, epoch)
	checkState("withdrawn by another host", 1, quarantiner.Clear)
	checkState("quarantine whose entries are lost", 2, quarantiner.Quarantined)
	checkState("crash that was not reported yet", 4, quarantiner.Suspect)
}

// TestManyCrashesAtOnce guards against a call that is no longer quarantined because it has crashed so many targets at
// once that the evidence of another kind is dropped, and against a report for each of these crashes.
func TestManyCrashesAtOnce(t *testing.T) {
	for name, fingerprint := range map[string]quarantiner.Fingerprint{"of one caller": identity(1), "of many callers": {Hash: 1, Wide: true}} {
		t.Run(name, func(t *testing.T) {
			q := &quarantiner.Quarantiner{MaxSuspects: 8}
			q.RecordCrash(fingerprint, "p", "t0", 1, false, expiry, epoch)
			reports := 0
			for i := range 40 {
				if _, added := q.RecordCrash(fingerprint, "p", "t"+string(rune('a'+i)), 1, true, expiry, epoch.Add(time.Duration(i)*time.Millisecond)); added {
					reports++
				}
			}
			if got, want := q.State(1, epoch.Add(time.Second)), quarantiner.Quarantined; got != want {
				t.Errorf("state after 41 crashes: got %d, want %d", got, want)
			}
			if got, most := reports, 2; got > most {
				t.Errorf("reports: got %d, want at most %d", got, most)
			}
		})
	}
}
