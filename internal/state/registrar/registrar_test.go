package registrar_test

import (
	"testing"
	"time"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/registrar"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return start.Add(after) }

func replica(id string, startUnixMs int64, sequence uint64) wigeonspindle.RegistryUpdate {
	return wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectReplica, Name: id, Replica: &wigeonspindle.Replica{
		ID: id, Pool: "pool", StartUnixMs: startUnixMs, Sequence: sequence,
	}}
}

func removal(subject wigeonspindle.Subject, name string) wigeonspindle.RegistryUpdate {
	return wigeonspindle.RegistryUpdate{Subject: subject, Name: name, Removed: true}
}

func peer(name string) wigeonspindle.RegistryUpdate {
	return wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectPeer, Name: name, Peer: wigeonspindle.Peer{Name: name}}
}

func catalog(version uint64) wigeonspindle.RegistryUpdate {
	return wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectCatalog, Catalog: &wigeonspindle.Catalog{Version: version}}
}

func batch(updates ...wigeonspindle.RegistryUpdate) wigeonspindle.RegistryBatch {
	return wigeonspindle.RegistryBatch{Updates: updates}
}

// TestVersions guards against reverting to an older configuration, whether a change, a full
// list or a removal brings it.
func TestVersions(t *testing.T) {
	r := &registrar.Registrar{}
	for _, step := range []struct{ offered, want uint64 }{{3, 3}, {2, 3}, {7, 7}, {7, 7}, {1, 7}} {
		r.Apply(batch(catalog(step.offered)), at(0))
		if got := r.State().Catalog.Version; got != step.want {
			t.Errorf("version after %d: got %d, want %d", step.offered, got, step.want)
		}
	}
	r.Replace(batch(catalog(4)), at(0))
	r.Apply(batch(removal(wigeonspindle.SubjectCatalog, "")), at(0))
	if got, want := r.State().Catalog.Version, uint64(7); got != want {
		t.Errorf("version after an older list and a removal: got %d, want %d", got, want)
	}
}

// TestGone guards against sending new work to a replica whose entry was removed, and against
// a deployment that loses its replicas because the registry was unavailable.
func TestGone(t *testing.T) {
	for _, test := range []struct {
		name         string
		outage       bool
		reregistered bool // reregistered makes the replica and the host register again.
		wants        map[time.Duration]int
	}{
		{name: "without an outage", wants: map[time.Duration]int{0: 0}},
		{name: "after an outage", outage: true, wants: map[time.Duration]int{0: 1, time.Second: 1, 3 * time.Second: 0}},
		{name: "registered again after an outage", outage: true, reregistered: true, wants: map[time.Duration]int{time.Second: 1, 3 * time.Second: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &registrar.Registrar{RecoveryGrace: 2 * time.Second}
			r.Replace(batch(replica("a", 1, 1), peer("h")), at(0))
			if test.outage && !r.MarkUnavailable() {
				t.Fatal("registry was available before: got false, want true")
			}
			r.Apply(batch(removal(wigeonspindle.SubjectReplica, "a"), removal(wigeonspindle.SubjectPeer, "h")), at(0))
			for _, after := range []time.Duration{0, time.Second, 3 * time.Second} {
				var updates []wigeonspindle.RegistryUpdate
				if test.reregistered && after == time.Second {
					updates = append(updates, replica("a", 1, 2), peer("h"))
				}
				state := r.Apply(batch(updates...), at(after))
				want, ok := test.wants[after]
				if !ok {
					continue
				}
				if got := len(state.Replicas["pool"]); got != want {
					t.Errorf("replicas after %v: got %d, want %d", after, got, want)
				}
				if got := len(state.Peers); got != want {
					t.Errorf("hosts after %v: got %d, want %d", after, got, want)
				}
			}
		})
	}
}

// TestReplace guards against keeping entries that a full list no longer contains.
func TestReplace(t *testing.T) {
	r := &registrar.Registrar{RecoveryGrace: 2 * time.Second}
	outDomain := wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectDomain, Name: "a"}
	r.Replace(batch(replica("a", 1, 1), peer("h"), outDomain), at(0))
	if !r.State().OutDomains["a"] {
		t.Fatal("domain: got in service, want out")
	}
	state := r.Replace(batch(replica("b", 1, 1)), at(time.Second))
	if got, want := len(state.Replicas["pool"]), 1; got != want || state.Replicas["pool"][0].ID != "b" {
		t.Errorf("replicas: got %v, want only b", state.Replicas["pool"])
	}
	if len(state.Peers) != 0 || state.OutDomains["a"] {
		t.Errorf("hosts and domains: got %v and %v, want none", state.Peers, state.OutDomains)
	}
}

// TestStaleReport guards against an old report that replaces a newer one, and against treating
// the first report of a new run as an old report.
func TestStaleReport(t *testing.T) {
	for _, test := range []struct {
		name string
		next wigeonspindle.RegistryUpdate
		want uint64
	}{
		{"newer report", replica("a", 5, 9), 9},
		{"older report", replica("a", 5, 7), 8},
		{"new run", replica("a", 6, 1), 1},
		{"earlier run", replica("a", 4, 99), 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &registrar.Registrar{}
			state := r.Apply(batch(replica("a", 5, 8), test.next), at(0))
			if got := state.Replicas["pool"][0].Sequence; got != test.want {
				t.Errorf("sequence: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestUnusableReplica guards against keeping a replica whose entry another writer has replaced
// by one that describes no usable replica.
func TestUnusableReplica(t *testing.T) {
	r := &registrar.Registrar{}
	r.Apply(batch(replica("a", 1, 1), replica("b", 1, 1)), at(0))
	state := r.Apply(batch(wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectReplica, Name: "a"}), at(0))
	if got, want := len(state.Replicas["pool"]), 1; got != want {
		t.Errorf("replicas: got %d, want %d", got, want)
	}
}

// TestFollow guards against hosts whose state differs from that of the host that they follow.
func TestFollow(t *testing.T) {
	relay, follower := &registrar.Registrar{}, &registrar.Registrar{}
	var position uint64
	for i, step := range [][]wigeonspindle.RegistryUpdate{
		{catalog(1), replica("a", 1, 1), replica("b", 1, 1), peer("h")},
		{replica("a", 1, 2), replica("b", 2, 1)},
		{removal(wigeonspindle.SubjectReplica, "a"), {Subject: wigeonspindle.SubjectDomain, Name: "d"}},
		{catalog(2), removal(wigeonspindle.SubjectPeer, "h"), removal(wigeonspindle.SubjectDomain, "d")},
	} {
		relay.Apply(batch(step...), at(0))
		updates, next, known, _ := relay.ChangesSince(position)
		if !known {
			t.Fatalf("changes after step %d: got unknown, want known", i)
		}
		position = next
		got, want := follower.Apply(batch(updates...), at(0)), relay.State()
		if diff := registrar.Diff(got, want); len(diff) != 0 {
			t.Errorf("difference after step %d: got %+v, want none", i, diff)
		}
	}
	full, _ := relay.AllUpdates()
	late := &registrar.Registrar{}
	if diff := registrar.Diff(late.Replace(batch(full...), at(0)), relay.State()); len(diff) != 0 {
		t.Errorf("difference of a late follower: got %+v, want none", diff)
	}
	if _, _, known, _ := relay.ChangesSince(position + 1); known {
		t.Error("changes after a future position: got known, want unknown")
	}
}

// TestHeartbeat guards against a message to every follower for each report of a replica that
// only renews its entry.
func TestHeartbeat(t *testing.T) {
	r := &registrar.Registrar{}
	r.Apply(batch(replica("a", 1, 1)), at(0))
	_, position, _, next := r.ChangesSince(0)
	r.Apply(batch(replica("a", 1, 2)), at(time.Second))
	if updates, _, _, _ := r.ChangesSince(position); len(updates) != 0 {
		t.Errorf("changes: got %+v, want none", updates)
	}
	select {
	case <-next:
		t.Error("channel of the next change: got closed, want open")
	default:
	}
}

// TestSettled guards against adopting an entry that another host keeps only until its owner
// registers again: the adopting host would send to a stopped replica for longer than allowed.
func TestSettled(t *testing.T) {
	r := &registrar.Registrar{RecoveryGrace: 2 * time.Second}
	r.Replace(batch(replica("a", 1, 1)), at(0))
	for _, step := range []struct {
		name    string
		act     func()
		settled bool
	}{
		{"first answer", func() {}, true},
		{"registry unavailable", func() { r.MarkUnavailable() }, false},
		{"registry available again", func() { r.Apply(batch(removal(wigeonspindle.SubjectReplica, "a")), at(time.Second)) }, false},
		{"during the recovery grace", func() { r.Apply(batch(), at(2900*time.Millisecond)) }, false},
		{"after the recovery grace", func() { r.Apply(batch(), at(3100*time.Millisecond)) }, true},
	} {
		step.act()
		if got := r.Settled(); got != step.settled {
			t.Errorf("settled, %s: got %v, want %v", step.name, got, step.settled)
		}
	}
	r.MarkUnavailable()
	r.Apply(wigeonspindle.RegistryBatch{Settled: true}, at(4*time.Second))
	if !r.Settled() {
		t.Error("settled after the answer of a settled host: got false, want true")
	}
}

// TestLateReport guards against new work for a replica that has left, because one of its earlier reports reaches the
// registry after its entry was removed.
func TestLateReport(t *testing.T) {
	r := &registrar.Registrar{}
	r.Apply(batch(replica("i", 5, 9)), at(0))
	r.Apply(batch(removal(wigeonspindle.SubjectReplica, "i")), at(time.Second))
	for _, step := range []struct {
		name     string
		start    int64
		sequence uint64
		after    time.Duration
		want     int
	}{
		{"earlier report", 5, 8, 2 * time.Second, 0},
		{"report of an earlier run", 4, 20, 3 * time.Second, 0},
		{"next report of the replica", 5, 10, 4 * time.Second, 1},
	} {
		r.Apply(batch(replica("i", step.start, step.sequence)), at(step.after))
		if got := len(r.State().Replicas["pool"]); got != step.want {
			t.Errorf("replicas after an %s: got %d, want %d", step.name, got, step.want)
		}
	}
	r.Replace(batch(), at(5*time.Second))
	r.Apply(batch(replica("i", 6, 1)), at(6*time.Second))
	if got, want := len(r.State().Replicas["pool"]), 1; got != want {
		t.Errorf("replicas after a new run under the same ID: got %d, want %d", got, want)
	}
}

// suspicion returns a suspicion that expires 10 min after the start.
func suspicion(crash string) wigeonspindle.RegistryUpdate {
	known := wigeonspindle.Suspicion{Fingerprint: 7, Crash: crash, Score: 1, Expires: at(10 * time.Minute)}
	return wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectSuspicion, Name: known.Name(), Suspicion: known}
}

func domain(name string) wigeonspindle.RegistryUpdate {
	return wigeonspindle.RegistryUpdate{Subject: wigeonspindle.SubjectDomain, Name: name}
}

func inEra(era uint64, updates ...wigeonspindle.RegistryUpdate) wigeonspindle.RegistryBatch {
	return wigeonspindle.RegistryBatch{Updates: updates, Era: era}
}

// TestRestoredCopyLacks guards against dropping what a registry that has come back from a copy lacks, before its
// writers have written it again, and against keeping it for ever.
func TestRestoredCopyLacks(t *testing.T) {
	newRegistrar := func() *registrar.Registrar {
		r := &registrar.Registrar{RecoveryGrace: 2 * time.Second}
		r.Replace(inEra(1, catalog(5), replica("a", 1, 3), replica("b", 1, 3), peer("h"), domain("z"), suspicion("a-1")), at(0))
		return r
	}
	count := func(r *registrar.Registrar) [5]int {
		state := r.State()
		return [5]int{len(state.Replicas["pool"]), len(state.Peers), len(state.OutDomains), len(state.Suspicions), len(state.UnlistedSuspicions)}
	}
	for _, test := range []struct {
		name string
		play func(r *registrar.Registrar)
		want [5]int // want is the number of replicas, hosts, domains taken out, suspicions, and suspicions that the registry lacks.
	}{
		{"at once", func(*registrar.Registrar) {}, [5]int{2, 1, 1, 1, 1}},
		{"during the recovery grace", func(r *registrar.Registrar) { r.Apply(inEra(2), at(2900*time.Millisecond)) }, [5]int{2, 1, 1, 1, 1}},
		// The suspicion may have been reported by a host that has stopped since, so it is kept until it expires.
		{"after the recovery grace", func(r *registrar.Registrar) { r.Apply(inEra(2), at(3100*time.Millisecond)) }, [5]int{1, 0, 0, 1, 1}},
		{"written again", func(r *registrar.Registrar) {
			r.Apply(inEra(2, replica("b", 1, 4), peer("h"), domain("z"), suspicion("a-1")), at(2*time.Second))
			r.Apply(inEra(2), at(10*time.Second))
		}, [5]int{2, 1, 1, 1, 0}},
		{"withdrawn since", func(r *registrar.Registrar) {
			r.Apply(inEra(2, domain("z"), removal(wigeonspindle.SubjectDomain, "z"), removal(wigeonspindle.SubjectSuspicion, suspicion("a-1").Name)), at(2*time.Second))
		}, [5]int{2, 1, 0, 0, 0}},
		{"listed again without them", func(r *registrar.Registrar) { r.Replace(inEra(2, replica("a", 1, 4)), at(2*time.Second)) }, [5]int{2, 1, 1, 1, 1}},
		{"expired", func(r *registrar.Registrar) { r.Apply(inEra(2), at(11*time.Minute)) }, [5]int{1, 0, 0, 0, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRegistrar()
			r.Replace(inEra(2, catalog(4), replica("a", 1, 2)), at(time.Second))
			if r.Settled() {
				t.Error("settled after the registry came back from a copy: got true, want false")
			}
			test.play(r)
			if got := count(r); got != test.want {
				t.Errorf("replicas, hosts, domains taken out, suspicions, those that the registry lacks: got %v, want %v", got, test.want)
			}
			if got, want := r.State().Catalog.Version, uint64(5); got != want {
				t.Errorf("version: got %d, want %d", got, want)
			}
		})
	}
}

// TestRestoredCopyRevives guards against new work for a replica, and callers for a host, that has left after the copy
// was made from which the registry has come back.
func TestRestoredCopyRevives(t *testing.T) {
	newRegistrar := func() *registrar.Registrar {
		r := &registrar.Registrar{RecoveryGrace: 2 * time.Second, PeerTTL: 4 * time.Second}
		r.Replace(inEra(1, replica("a", 1, 3), replica("b", 1, 3), peer("h"), peer("left")), at(0))
		r.Apply(inEra(1, removal(wigeonspindle.SubjectReplica, "a"), removal(wigeonspindle.SubjectPeer, "left")), at(time.Second))
		return r
	}
	copied := inEra(2, replica("a", 1, 3), replica("b", 1, 3), peer("h"), peer("left"))
	for _, test := range []struct {
		name            string
		play            func(r *registrar.Registrar)
		replicas, peers int
	}{
		{"at once", func(*registrar.Registrar) {}, 1, 1},
		{"removed again with its lease", func(r *registrar.Registrar) {
			r.Apply(inEra(2, removal(wigeonspindle.SubjectPeer, "left"), removal(wigeonspindle.SubjectReplica, "a")), at(5*time.Second))
			r.Apply(inEra(2), at(10*time.Second))
		}, 1, 1},
		{"started again", func(r *registrar.Registrar) {
			r.Apply(inEra(2, replica("a", 2, 1), peer("left")), at(3*time.Second))
		}, 2, 2},
		{"still there when its lease has ended", func(r *registrar.Registrar) { r.Apply(inEra(2), at(6100*time.Millisecond)) }, 1, 2},
		{"listed again", func(r *registrar.Registrar) {
			r.Replace(copied, at(3*time.Second))
			r.Apply(inEra(2), at(5900*time.Millisecond))
		}, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRegistrar()
			r.Replace(copied, at(2*time.Second))
			test.play(r)
			state := r.State()
			if got := len(state.Replicas["pool"]); got != test.replicas {
				t.Errorf("replicas: got %d, want %d", got, test.replicas)
			}
			if got := len(state.Peers); got != test.peers {
				t.Errorf("hosts: got %d, want %d", got, test.peers)
			}
		})
	}
}

// TestSameReportAfterOutage guards against a live replica that is not used again because its entry ended in an outage
// and returned with the report that the host knew.
func TestSameReportAfterOutage(t *testing.T) {
	r := &registrar.Registrar{}
	r.Replace(inEra(1, replica("a", 1, 3)), at(0))
	r.Apply(inEra(1, removal(wigeonspindle.SubjectReplica, "a")), at(time.Second))
	r.Apply(inEra(1, replica("a", 1, 3)), at(2*time.Second))
	if got, want := len(r.State().Replicas["pool"]), 1; got != want {
		t.Errorf("replicas: got %d, want %d", got, want)
	}
}
