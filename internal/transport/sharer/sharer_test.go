package sharer_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/state/registrar"
	"wigeonspindle.example/wigeonspindle/internal/state/timekeeper"
	"wigeonspindle.example/wigeonspindle/internal/transport/sharer"
	"wigeonspindle.example/wigeonspindle/internal/transport/simulator"
)

// waitTimeout bounds the wait for an answer.
const waitTimeout = 10 * time.Second

// newServer starts a server on an address, or on a free port if the address is empty. It returns
// the server and its address.
func newServer(t *testing.T, r *registrar.Registrar, address string, epoch uint64) (*sharer.Server, string) {
	t.Helper()
	if address == "" {
		address = simulator.ReservedAddress()
	}
	server := &sharer.Server{Address: address, Registrar: r, Clock: timekeeper.SystemClock{}, Logger: log.New(io.Discard), Epoch: epoch}
	if err := server.Run(); err != nil {
		t.Fatal(err)
	}
	return server, address
}

// suspicion is a suspicion that a host reported.
var suspicion = wigeonspindle.Suspicion{Fingerprint: 12, Score: 1.5, Target: "i", Wide: true, Expires: time.Now().Add(time.Hour)}

func updates() []wigeonspindle.RegistryUpdate {
	return []wigeonspindle.RegistryUpdate{
		{Subject: wigeonspindle.SubjectCatalog, Catalog: &wigeonspindle.Catalog{Version: 7, Routes: []wigeonspindle.Route{{Name: "r", Shards: []string{"p"}, Aim: time.Second}}}},
		{Subject: wigeonspindle.SubjectReplica, Name: "i", Replica: &wigeonspindle.Replica{
			ID: "i", Pool: "p", Address: "127.0.0.1:1", Domain: "a", Slots: 2, StartUnixMs: 5, Sequence: 9, WarmAt: time.Now().Add(time.Hour),
		}},
		{Subject: wigeonspindle.SubjectPeer, Name: "h", Peer: wigeonspindle.Peer{Name: "h", CallerAddress: "c", LinkAddress: "l", Domain: "a", Capacity: 0.5}},
		{Subject: wigeonspindle.SubjectDomain, Name: "b"},
		{Subject: wigeonspindle.SubjectSuspicion, Name: suspicion.Name(), Suspicion: suspicion},
	}
}

// TestShare guards against a follower whose deployment state differs from that of its relay.
func TestShare(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r := &registrar.Registrar{RecoveryGrace: time.Hour}
	server, address := newServer(t, r, "", 1)
	client := &sharer.Client{Peer: wigeonspindle.Peer{Name: "relay", LinkAddress: address}, Clock: timekeeper.SystemClock{}}
	defer client.Close()
	if _, err := client.List(ctx); !errors.Is(err, wigeonspindle.ErrStale) {
		t.Errorf("list of a host without state: got %v, want %v", err, wigeonspindle.ErrStale)
	}
	r.Replace(wigeonspindle.RegistryBatch{Updates: updates()}, time.Now())
	batch, err := client.List(ctx)
	if err != nil {
		t.Fatal(err)
	}
	follower := &registrar.Registrar{}
	deployment := follower.Replace(batch, time.Now())
	if got, want := deployment.Catalog.Routes[0].Aim, time.Second; got != want {
		t.Errorf("objective: got %v, want %v", got, want)
	}
	if got, want := deployment.Peers[0], updates()[2].Peer; got != want {
		t.Errorf("peer: got %+v, want %+v", got, want)
	}
	if !deployment.OutDomains["b"] {
		t.Error("failure domain: got in service, want out")
	}
	if got := deployment.Replicas["p"][0]; got.StartUnixMs != 5 || got.Slots != 2 || time.Until(got.WarmAt) < 50*time.Minute {
		t.Errorf("replica: got %+v, want the one that the relay holds", got)
	}
	if got := deployment.Suspicions; len(got) != 1 || got[0].Fingerprint != 12 || got[0].Score != 1.5 || !got[0].Wide || time.Until(got[0].Expires) < 50*time.Minute {
		t.Errorf("suspicions: got %+v, want %+v", got, suspicion)
	}
	go r.Apply(wigeonspindle.RegistryBatch{Updates: []wigeonspindle.RegistryUpdate{{Subject: wigeonspindle.SubjectReplica, Name: "i", Removed: true}}}, time.Now())
	changes, err := client.Follow(ctx, batch.Revision, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(changes.Updates), 1; got != want || !changes.Updates[0].Removed {
		t.Errorf("changes: got %+v, want the removal", changes.Updates)
	}
	r.MarkUnavailable()
	if _, err := client.Follow(ctx, changes.Revision, 0); !errors.Is(err, wigeonspindle.ErrStale) {
		t.Errorf("follow of a host whose registry is unavailable: got %v, want %v", err, wigeonspindle.ErrStale)
	}
	// The registry answers again, but its entries are not settled for RecoveryGrace.
	r.Apply(wigeonspindle.RegistryBatch{Updates: []wigeonspindle.RegistryUpdate{{Subject: wigeonspindle.SubjectDomain, Name: "c"}}}, time.Now())
	if later, err := client.Follow(ctx, changes.Revision, 0); err != nil || len(later.Updates) != 1 {
		t.Errorf("changes after an outage: got %+v and %v, want one change", later.Updates, err)
	}
	if _, err := client.List(ctx); !errors.Is(err, wigeonspindle.ErrUnsettled) {
		t.Errorf("list after an outage: got %v, want %v", err, wigeonspindle.ErrUnsettled)
	}
	server.Close()
}

// TestRestart guards against a position of an earlier run that is interpreted as one of the
// current run.
func TestRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r := &registrar.Registrar{}
	r.Replace(wigeonspindle.RegistryBatch{Updates: updates()}, time.Now())
	first, address := newServer(t, r, "", 1)
	client := &sharer.Client{Peer: wigeonspindle.Peer{Name: "relay", LinkAddress: address}, Clock: timekeeper.SystemClock{}}
	defer client.Close()
	batch, err := client.List(ctx)
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	second, _ := newServer(t, r, address, 2)
	defer second.Close()
	_, err = client.Follow(ctx, batch.Revision, 0)
	if err != nil && !errors.Is(err, wigeonspindle.ErrCompacted) { // The connection to the earlier run may fail first.
		_, err = client.Follow(ctx, batch.Revision, 0)
	}
	if !errors.Is(err, wigeonspindle.ErrCompacted) {
		t.Errorf("error after a restart: got %v, want %v", err, wigeonspindle.ErrCompacted)
	}
}

// TestWaitEnds guards against a host that waits for a change at its relay although the registry has answered the relay
// without changes, or although the relay has lost the registry: the host would take its state for older than it is, or use it for
// too long.
func TestWaitEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r := &registrar.Registrar{}
	server, address := newServer(t, r, "", 1)
	defer server.Close()
	client := &sharer.Client{Peer: wigeonspindle.Peer{Name: "relay", LinkAddress: address}, Clock: timekeeper.SystemClock{}}
	defer client.Close()
	r.Replace(wigeonspindle.RegistryBatch{Updates: updates()}, time.Now())
	batch, err := client.List(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var answering sync.WaitGroup
	answering.Go(func() {
		time.Sleep(50 * time.Millisecond)
		r.Apply(wigeonspindle.RegistryBatch{}, time.Now())
	})
	started := time.Now()
	batch, err = client.Follow(ctx, batch.Revision, waitTimeout)
	answering.Wait()
	if err != nil || len(batch.Updates) > 0 || time.Now().Add(-batch.Age).Before(started) {
		t.Errorf("after an answer without changes: got %d updates of age %v and error %v, want none and the age of the answer", len(batch.Updates), batch.Age, err)
	}
	if _, err = client.Follow(ctx, batch.Revision, waitTimeout); !errors.Is(err, wigeonspindle.ErrStale) {
		t.Errorf("when the registry no longer answers the relay: got %v, want %v", err, wigeonspindle.ErrStale)
	}
}
