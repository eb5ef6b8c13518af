package balancer_test

import (
	"fmt"
	"testing"

	"wigeonspindle.example/wigeonspindle"
	"wigeonspindle.example/wigeonspindle/internal/coordination/balancer"
)

// newPeers returns the given number of peers of one capacity.
func newPeers(count int, capacity float64) []wigeonspindle.Peer {
	peers := make([]wigeonspindle.Peer, count)
	for i := range peers {
		peers[i] = wigeonspindle.Peer{Name: fmt.Sprintf("%v-%d", capacity, i), Capacity: capacity}
	}
	return peers
}

// TestServing guards against sending queries of many shards to weak hosts while strong ones are
// idle, and against leaving too little capacity when strong hosts are lost.
func TestServing(t *testing.T) {
	for _, test := range []struct {
		name  string
		peers []wigeonspindle.Peer
		want  int
	}{
		{"none", nil, 0},
		{"equal hosts", newPeers(12, 0.272), 12},
		{"strong and weak hosts", append(newPeers(99, 0.134), newPeers(8, 0.8)...), 8},
		{"five strong hosts are too few", append(newPeers(60, 0.134), newPeers(5, 0.8)...), 6},
		{"two strong hosts have too little capacity", append(newPeers(99, 0.134), newPeers(2, 0.8)...), 18},
		{"only weak hosts", newPeers(99, 0.134), 99},
		{"slightly different hosts", append(newPeers(6, 0.3), newPeers(6, 0.25)...), 12},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := len(balancer.ServingHosts(test.peers)); got != test.want {
				t.Errorf("serving hosts: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestServes guards against hundreds of weak hosts that open connections to all replicas because their entries
// are not listed for a moment, and against a strong one that does not serve the callers that know it.
func TestServes(t *testing.T) {
	strong, weak := newPeers(18, 0.8), newPeers(177, 0.192)
	all := append(append([]wigeonspindle.Peer{}, strong...), weak...)
	for _, test := range []struct {
		name  string
		peers []wigeonspindle.Peer
		self  wigeonspindle.Peer
		want  bool
	}{
		{"listed strong host", all, strong[0], true},
		{"listed weak host", all, weak[0], false},
		{"strong host that is not listed", all[1:], strong[0], true},
		{"weak host that is not listed", all[:len(all)-1], weak[len(weak)-1], false},
		{"host that knows no other", nil, weak[0], true},
	} {
		t.Run(test.name, func(t *testing.T) {
			deployment := &wigeonspindle.DeploymentState{Peers: test.peers, ServingPeers: balancer.ServingHosts(test.peers)}
			if got := balancer.Serves(deployment, test.self); got != test.want {
				t.Errorf("serves: got %v, want %v", got, test.want)
			}
		})
	}
}
