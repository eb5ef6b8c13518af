package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parameters of lostRegister. The bounds are those of the rule FAILBACK.
const (
	warmupPeriod = 3 * time.Second
	warmupRate   = 30.0
	warmupFactor = 1.5
	warmupSlack  = 5
	// lossPeriod is how long the store loses answers, and lossDelay how much later it executes these writes.
	lossPeriod = 4500 * time.Millisecond
	lossDelay  = 2 * time.Second
	// settlePeriod is the time without any disruption before the first replica is replaced.
	settlePeriod = 15 * time.Second
	// crashFactor times its warm-up rate is the number of requests in a second at which a cold replica crashes.
	crashFactor  = 2
	coldRounds   = 4
	coldInterval = 7 * time.Second
	orderRate    = 240.0
	registerWork = 20 * time.Millisecond
)

// lostRegister loses the answers to a few writes of the store while the nodes start, and executes these writes late. Long
// after that, replicas are replaced one at a time, and the new ones are cold.
func lostRegister(b *bench) (bool, error) {
	b.configure(7, []map[string]any{route("orders", "non_idempotent", "commissions")}, []map[string]any{service("commissions", warmupRate)})
	start := func(index int, warmup time.Duration) (*replica, error) {
		r := b.newReplica(fmt.Sprintf("i-comm%02d", index), "commissions", string(rune('a'+index%2)), 2, 8, registerWork)
		r.warmup = warmup
		if warmup > 0 {
			r.onArrival = b.crashAbove(crashFactor * warmupRate)
		}
		return r, r.start("")
	}
	var replicas, all []*replica
	for i := range 2 {
		r, err := start(i, 0)
		if err != nil {
			return false, err
		}
		replicas, all = append(replicas, r), append(all, r)
	}
	defer func() {
		for _, r := range all {
			r.crash()
		}
	}()
	if b.trouble {
		b.store.loseAnswers(time.Now().Add(lossPeriod))
	}
	if err := b.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(settlePeriod)
	b.record.printf("the store lists the nodes %v; it lost %d answers of %d writes", b.store.keys("hosts/"), len(b.store.lost), b.store.writesWhileLosing)
	fmt.Printf("the store lost %d answers of %d writes\n", len(b.store.lost), b.store.writesWhileLosing)
	fmt.Printf("%d s after the start the store lists the nodes %v\n", int(settlePeriod.Seconds()), b.store.keys("hosts/"))
	stop := time.Now().Add(coldRounds*coldInterval + 2*time.Second)
	var sending sync.WaitGroup
	sending.Go(func() { b.sendByZone("/orders/", orderRate, stop) })
	var cold []*replica
	for i := range coldRounds {
		time.Sleep(2 * time.Second)
		next, err := start(2+i, warmupPeriod)
		if err != nil {
			return false, err
		}
		cold, all = append(cold, next), append(all, next)
		b.record.printf("replica %s has started and is cold for %v", next.id, warmupPeriod)
		leaving := replicas[0]
		leaving.drain()
		b.record.printf("the store has accepted that %s is draining", leaving.id)
		time.Sleep(drainPeriod + 500*time.Millisecond)
		leaving.crash()
		b.store.remove("servers/" + leaving.id)
		replicas = []*replica{replicas[1], next}
		time.Sleep(coldInterval - 2*time.Second - drainPeriod - 500*time.Millisecond)
	}
	sending.Wait()
	bound, broken := int(warmupRate*warmupFactor)+warmupSlack, false
	for _, r := range cold {
		worst, after := b.journal.worstSecond(r.id, r.born, r.born.Add(warmupPeriod))
		broken = broken || worst > bound
		b.record.printf("FAILBACK: cold replica %s got %d requests in the second from %v after its start; the bound is %d", r.id, worst, after.Round(time.Millisecond), bound)
		fmt.Printf("cold replica %s got %d requests in the second from %v after its start; the bound is %d\n", r.id, worst, after.Round(time.Millisecond), bound)
	}
	b.countLost()
	return broken, nil
}

// sendByZone sends requests at random times at a mean rate until a time. The clients of a zone ask the directory of the
// node in their zone, and the others if it doesn't answer.
func (b *bench) sendByZone(path string, perSecond float64, until time.Time) {
	var groups []*clients
	for i := range b.fleet.nodes {
		nodes := append(append([]*node{}, b.fleet.nodes[i:]...), b.fleet.nodes[:i]...)
		groups = append(groups, &clients{fleet: &fleet{nodes: nodes}, record: b.record, journal: b.journal, prefix: string(rune('a' + i))})
	}
	random := rand.New(rand.NewPCG(1, 2))
	for at := time.Now(); at.Before(until); at = at.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		time.Sleep(time.Until(at))
		groups[random.IntN(len(groups))].send(http.MethodPost, path, clientDeadline, []byte("order"))
	}
	for _, group := range groups {
		group.pending.Wait()
	}
}

// loseAnswers makes the store lose the answer to the first write of each node's entry under a lease of less than 3 s
// until a time, and execute these writes lossDelay later.
func (s *store) loseAnswers(until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loseUntil, s.lost = until, make(map[string]bool)
}

// loses reports whether the answer to a transaction is lost.
func (s *store) loses(txn *transaction) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.countWrite()
	if !time.Now().Before(s.loseUntil) || len(txn.Writes) != 1 {
		return false
	}
	write := txn.Writes[0]
	known, ok := s.leases[write.Lease]
	if !ok || known.ttl >= 3*time.Second || s.lost[write.Key] {
		return false
	}
	s.lost[write.Key] = true
	s.record.printf("the store will execute a write of %s under lease %d in %v and loses the answer", write.Key, write.Lease, lossDelay)
	return true
}

// countWrite counts a call that writes while answers are lost. The caller holds the mutex.
func (s *store) countWrite() {
	if time.Now().Before(s.loseUntil) {
		s.writesWhileLosing++
	}
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	return found
}
