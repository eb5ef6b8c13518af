package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// statedLimit is what the replica names, in requests a second.
	statedLimit = 1.0
	// contactPeriod and limitSpan are those of the rule LIMIT, and limitFactor and limitSlack its bound.
	contactPeriod = 4 * time.Second
	limitSpan     = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	// passedBefore is how long before an arrival its host must have passed on an answer that names the limit.
	passedBefore = 500 * time.Millisecond
)

// playLimit shows whether a limit that a replica names is kept after its entry was away.
func playLimit(s *scene) int {
	d, err := startDeployment(s)
	defer d.close()
	if err != nil {
		return s.failed(err)
	}
	limited := d.replicas[6]
	var mutex sync.Mutex
	passedAt := make(map[string]time.Time) // passedAt is when each host first passed on an answer of the limited replica.
	statuses := make(map[int]int)
	var namedAt time.Time
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		d.traffic(stop, func(o outcome) {
			mutex.Lock()
			defer mutex.Unlock()
			statuses[o.status]++
			if o.status == http.StatusOK && !namedAt.IsZero() && o.sent.After(namedAt) && namesPart(o.header.Get("X-Partial-Stamps"), limited.id) {
				if _, ok := passedAt[o.via]; !ok {
					passedAt[o.via] = o.ended
				}
			}
		})
	}()
	time.Sleep(5 * time.Second)
	mutex.Lock()
	limited.setLimit(fmt.Sprint(statedLimit))
	namedAt = time.Now()
	mutex.Unlock()
	s.rec.line("replica %s of %s names Server-Limit: %v from now on", limited.id, limited.service, statedLimit)
	time.Sleep(40 * time.Second)
	mutex.Lock()
	s.rec.line("hosts that have passed on an answer with the limit: %d", len(passedAt))
	mutex.Unlock()
	if s.trouble {
		limited.muted.Store(true)
		s.rec.line("its reports no longer reach the store")
	}
	waitFor(10*time.Second, func() bool { return s.trouble && d.store.count("servers/"+limited.id) == 0 })
	s.rec.line("entries of the replica in the store: %d", d.store.count("servers/"+limited.id))
	time.Sleep(3 * time.Second)
	if s.trouble {
		limited.muted.Store(false)
		limited.beat()
		s.rec.line("its reports reach the store again")
	}
	time.Sleep(12 * time.Second)
	close(stop)
	<-done
	s.rec.line("answers to clients by status: %v", statuses)
	var counted []time.Time
	for _, a := range limited.taken() {
		if a.at.Before(namedAt) {
			continue
		}
		mutex.Lock()
		passed, ok := passedAt[a.via]
		mutex.Unlock()
		counts := ok && a.at.Sub(passed) >= passedBefore && a.at.Sub(namedAt) >= contactPeriod
		s.rec.line("arrival at the replica at %s, request %s by host %s, counts %v", s.rec.at(a.at), a.id, a.via, counts)
		if counts {
			counted = append(counted, a.at)
		}
	}
	most, from := busiest(counted, limitSpan)
	bound := limitFactor*statedLimit*limitSpan.Seconds() + limitSlack
	s.rec.line("most requests in %v: %d, from %s; the bound of LIMIT is %.1f", limitSpan, most, s.rec.at(from), bound)
	if float64(most) > bound {
		return broken
	}
	return held
}

// namesPart reports whether a list of signatures has one of a replica.
func namesPart(stamps, id string) bool { return strings.Contains(stamps, id+".") }
