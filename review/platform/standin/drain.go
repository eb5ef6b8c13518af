package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Parameters of pinnedDrain.
const (
	drainRounds   = 5
	drainReplicas = 2
	otherReplicas = 6
	needPeriod    = 400 * time.Millisecond
	needAfter     = "3.5"
	// drainBurst is the number of requests that are sent at once while the replicas are in need, and drainDelay the time
	// from there to the report of the replica that leaves.
	drainBurst = 30
	drainDelay = 100 * time.Millisecond
	// exitDelay is the little longer for which a replica serves after the drain period.
	exitDelay = 550 * time.Millisecond
	drainWork = 200 * time.Millisecond
)

// pinnedDrain makes a replica leave while requests wait for the end of a Retry-After.
func pinnedDrain(b *bench) (bool, error) {
	b.configure(7, []map[string]any{route("orders", "non_idempotent", "commissions")}, []map[string]any{service("commissions", 0), service("maker-pay", 0)})
	var replicas []*replica
	start := func(id string, zone int) (*replica, error) {
		r := b.newReplica(id, "commissions", string(rune('a'+zone%3)), 2, 8, drainWork)
		return r, r.start("")
	}
	// The other service gets no requests. One of all replicas leaves at a time, an eighth of them.
	for i := range otherReplicas {
		r := b.newReplica(fmt.Sprintf("i-pay%d", i), "maker-pay", string(rune('a'+i%3)), 2, 8, drainWork)
		if err := r.start(""); err != nil {
			return false, err
		}
		defer r.crash()
	}
	for i := range drainReplicas {
		r, err := start(fmt.Sprintf("i-comm0%d", i), i)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	defer func() {
		for _, r := range replicas {
			r.crash()
		}
	}()
	if err := b.startNodes(3); err != nil {
		return false, err
	}
	late, lost := 0, 0
	var leaving sync.WaitGroup
	for round := range drainRounds {
		for range 20 {
			b.clients.send(http.MethodPost, "/orders/", clientDeadline, []byte("order"))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		needUntil := time.Now().Add(needPeriod)
		for _, r := range replicas {
			r.mutex.Lock()
			r.needUntil, r.retryAfter = needUntil, needAfter
			r.mutex.Unlock()
		}
		for range drainBurst {
			b.clients.send(http.MethodPost, "/orders/", clientDeadline, []byte("order"))
		}
		time.Sleep(drainDelay)
		if b.trouble {
			r := replicas[0]
			r.drain()
			acknowledged := time.Now()
			b.record.printf("the store has accepted that %s is draining", r.id)
			leaving.Go(func() {
				time.Sleep(time.Until(acknowledged.Add(drainPeriod + exitDelay)))
				r.crash()
				b.store.remove("servers/" + r.id)
				b.record.printf("replica %s has ended", r.id)
				for _, a := range b.journal.arrivalsAt(r.id) {
					if after := a.at.Sub(acknowledged); after > drainPeriod {
						late++
						b.record.printf("DRAIN: %s reached %s %v after the store accepted that it is draining", a.id, r.id, after.Round(time.Millisecond))
					}
				}
			})
			next, err := start(fmt.Sprintf("i-comm%d%d", round+1, 0), 0)
			if err != nil {
				return false, err
			}
			replicas = append(replicas[1:], next)
		}
		time.Sleep(6 * time.Second)
	}
	b.clients.pending.Wait()
	leaving.Wait()
	for id := range b.journal.runsByID() {
		if status := b.journal.answerTo(id).status; status != http.StatusOK {
			lost++
			b.record.printf("%s began to run; its client got %d", id, status)
		}
	}
	b.record.printf("result: %d requests reached a draining replica too late; %d began to run and got no success", late, lost)
	fmt.Printf("%d requests reached a draining replica too late; %d began to run and got no success\n", late, lost)
	return late > 0, nil
}
