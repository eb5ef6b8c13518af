package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// The settings of the hosts change in hupRounds parts. The hosts of a part get SIGHUP over hupGap.
	hupRounds = 3
	hupGap    = 2 * time.Second
	// overlap is how long the store still serves at its earlier address.
	overlap = 10 * time.Second
	// applyPeriod is config_apply_ms, and drainPeriod a little more than drain_ms.
	applyPeriod = 3 * time.Second
	drainPeriod = 4 * time.Second
	// startPeriod is the time between the start of the next set of shards and the version that names it.
	startPeriod = 3500 * time.Millisecond
)

// playMoved shows whether hosts follow the store to the address that their changed settings name.
func playMoved(s *scene) int {
	d, err := startDeployment(s)
	defer d.close()
	if err != nil {
		return s.failed(err)
	}
	var mutex sync.Mutex
	var outcomes []outcome
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		d.traffic(stop, func(o outcome) {
			mutex.Lock()
			defer mutex.Unlock()
			outcomes = append(outcomes, o)
		})
	}()
	time.Sleep(4 * time.Second)
	if s.trouble {
		leave, err := d.store.move()
		if err != nil {
			return s.failed(err)
		}
		for _, h := range d.hosts {
			if err := h.moveStore(d.store.addr); err != nil {
				return s.failed(err)
			}
			s.rec.line("SIGHUP to %s at %s; its settings name the new address of the store", h.name, h.caller)
			time.Sleep(hupGap * hupRounds / time.Duration(len(d.hosts)))
		}
		time.Sleep(overlap)
		leave()
		s.rec.line("the store no longer serves at its earlier address")
	}
	time.Sleep(5 * time.Second)
	old := d.replicas
	shards, err := d.startShards("next")
	if err != nil {
		return s.failed(err)
	}
	s.rec.line("the next set of shards has started")
	time.Sleep(startPeriod)
	acknowledged := d.configure(9, shards)
	s.rec.line("the store has taken version 9, which names the next set of shards")
	time.Sleep(applyPeriod)
	for _, r := range old {
		r.leave(drainPeriod)
	}
	s.rec.line("the replicas of the earlier set report that they drain; they end in %v", drainPeriod)
	time.Sleep(drainPeriod)
	ended := time.Now()
	time.Sleep(6 * time.Second)
	close(stop)
	<-done
	oldRuns := make(map[string]bool)
	for _, r := range old {
		for _, a := range r.taken() {
			oldRuns[a.id] = oldRuns[a.id] || a.ran
		}
	}
	late, wrong, byHost := 0, 0, make(map[string]int)
	after, served := 0, 0
	for _, o := range outcomes {
		if o.sent.After(ended) {
			after++
			if o.status == http.StatusOK {
				served++
			}
		}
		if o.sent.Sub(acknowledged) <= applyPeriod {
			continue
		}
		late++
		if oldRuns[o.id] {
			wrong++
			byHost[o.via]++
			if wrong <= 20 {
				s.rec.line("request %s to host %s, sent at %s, status %d (%s): run by shards that version 9 does not name", o.id, o.via, s.rec.at(o.sent), o.status, http.StatusText(o.status))
			}
		}
	}
	s.rec.line("requests sent later than %v after the acknowledgement: %d; handled as only version 3 allows: %d, by %d hosts", applyPeriod, late, wrong, len(byHost))
	s.rec.line("attempts of clients after the earlier replicas have ended: %d, served: %d", after, served)
	if wrong > 0 {
		return broken
	}
	return held
}
