package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Parameters of coldAgain. The bounds are those of the rule FAILBACK.
const (
	againRate     = 8.0
	againCrash    = 3 * againRate // againCrash is the number of requests in a second at which a cold replica crashes.
	againRounds   = 8
	againInterval = 8 * time.Second
	againLoad     = 160.0
	againWork     = 8 * time.Millisecond
)

// coldAgain makes a replica cold again, which says so in its entry at once.
func coldAgain(b *bench) (bool, error) {
	b.configure(7, []map[string]any{route("orders", "non_idempotent", "commissions")}, []map[string]any{service("commissions", againRate)})
	start := func(index int) (*replica, error) {
		r := b.newReplica(fmt.Sprintf("i-comm%02d", index), "commissions", string(rune('a'+index%2)), 2, 8, againWork)
		r.onArrival = b.crashAbove(againCrash)
		return r, r.start("")
	}
	var replicas []*replica
	for i := range 2 {
		r, err := start(i)
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
	stop := time.Now().Add(againRounds*againInterval + 2*time.Second)
	var sending sync.WaitGroup
	sending.Go(func() { b.sendByZone("/orders/", againLoad, stop) })
	random := rand.New(rand.NewPCG(3, 4))
	bound, broken := int(againRate*warmupFactor)+warmupSlack, false
	for i := range againRounds {
		time.Sleep(2*time.Second + time.Duration(random.Int64N(int64(time.Second))))
		if b.trouble {
			r := replicas[0]
			r.chill(warmupPeriod)
			b.record.printf("the store has accepted that %s is cold for %v", r.id, warmupPeriod)
			time.Sleep(warmupPeriod)
			worst, after := b.journal.worstSecond(r.id, r.coldSince, r.coldUntil)
			broken = broken || worst > bound
			b.record.printf("FAILBACK: cold replica %s got %d requests in the second from %v after the report; the bound is %d", r.id, worst, after.Round(time.Millisecond), bound)
			fmt.Printf("cold replica %s got %d requests in the second from %v after the report; the bound is %d\n", r.id, worst, after.Round(time.Millisecond), bound)
			if r.hasEnded() {
				b.store.remove("servers/" + r.id)
				next, err := start(2 + i)
				if err != nil {
					return false, err
				}
				replicas[0] = next
			}
		}
		time.Sleep(time.Until(stop.Add(-time.Duration(againRounds-1-i)*againInterval - 2*time.Second)))
	}
	sending.Wait()
	b.countLost()
	return broken, nil
}

// crashAbove returns a function that crashes a cold replica once it has got more than a number of requests in a second.
func (b *bench) crashAbove(limit float64) func(r *replica, id string) {
	return func(r *replica, _ string) {
		r.mutex.Lock()
		since, until := r.coldSince, r.coldUntil
		r.mutex.Unlock()
		count := 0
		now := time.Now()
		for _, a := range b.journal.arrivalsAt(r.id) {
			if a.at.After(since) && now.Sub(a.at) < time.Second {
				count++
			}
		}
		if float64(count) > limit && now.Before(until) {
			b.record.printf("cold replica %s crashes: %d requests in a second", r.id, count)
			go r.crash()
		}
	}
}

// hasEnded reports whether the replica has crashed.
func (r *replica) hasEnded() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ended
}

// countLost reports the requests that began to run and got no success.
func (b *bench) countLost() {
	lost := 0
	for id := range b.journal.runsByID() {
		if status := b.journal.answerTo(id).status; status != http.StatusOK {
			lost++
			b.record.printf("%s began to run; its client got %d", id, status)
		}
	}
	b.record.printf("result: %d requests began to run and got no success", lost)
	fmt.Printf("%d requests began to run and got no success\n", lost)
}

// worstSecond returns the largest number of requests that reached a replica within a second between two times, and how
// long after the first of them that second began.
func (j *journal) worstSecond(replica string, from, to time.Time) (worst int, after time.Duration) {
	arrivals := j.arrivalsAt(replica)
	for i, first := range arrivals {
		if first.at.Before(from) || first.at.Add(time.Second).After(to) {
			continue
		}
		count := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) < time.Second {
				count++
			}
		}
		if count > worst {
			worst, after = count, first.at.Sub(from)
		}
	}
	return worst, after
}
