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
	overlap = 15 * time.Second
	// applyPeriod is config_apply_ms.
	applyPeriod = 3 * time.Second
)

// playMoved shows whether hosts follow the store to the address that their changed settings name.
func playMoved(s *scene) int {
	d, err := startDeployment(s, 0)
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
	time.Sleep(10 * time.Second)
	acknowledged := d.configure(9)
	s.rec.line("the store has taken version 9: searches go to the last shard and no longer to the first")
	time.Sleep(applyPeriod + 8*time.Second)
	close(stop)
	<-done
	old := make(map[string]bool)
	for _, r := range d.replicas[:2] {
		for _, a := range r.taken() {
			old[a.id] = old[a.id] || a.ran
		}
	}
	late, wrong, byHost := 0, 0, make(map[string]int)
	for _, o := range outcomes {
		if o.sent.Sub(acknowledged) <= applyPeriod {
			continue
		}
		late++
		if old[o.id] {
			wrong++
			byHost[o.via]++
			if wrong <= 20 {
				s.rec.line("request %s to host %s, sent at %s, status %d (%s): run by the shard that version 9 dropped", o.id, o.via, s.rec.at(o.sent), o.status, http.StatusText(o.status))
			}
		}
	}
	s.rec.line("requests sent later than %v after the acknowledgement: %d; handled as only version 3 allows: %d, by %d hosts", applyPeriod, late, wrong, len(byHost))
	if wrong > 0 {
		return broken
	}
	return held
}
