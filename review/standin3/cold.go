package main

import (
	"sync"
	"time"
)

const (
	// coldRate is the number of requests a second that a cold replica tolerates, and coldPeriod how long it stays cold.
	coldRate   = 5.0
	coldPeriod = 3 * time.Second
	// coldFactor and coldSlack are warmup_factor and warmup_slack.
	coldFactor, coldSlack = 1.5, 5.0
	coldTurns             = 6
)

// playCold shows how many requests a replica gets that has become cold again.
func playCold(s *scene) int {
	d, err := startDeployment(s, coldRate)
	defer d.close()
	if err != nil {
		return s.failed(err)
	}
	statuses := make(map[int]int)
	var mutex sync.Mutex
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		d.traffic(stop, func(o outcome) {
			mutex.Lock()
			defer mutex.Unlock()
			statuses[o.status]++
		})
	}()
	time.Sleep(5 * time.Second)
	bound := coldFactor*coldRate + coldSlack
	worst := 0
	for turn := range coldTurns {
		r := d.replicas[2*turn+1]
		since := time.Now()
		if s.trouble {
			since = r.turnCold(coldPeriod)
			s.rec.line("replica %s is cold for %v; the store has its report since %s", r.id, coldPeriod, s.rec.at(since))
		}
		time.Sleep(coldPeriod + 2*time.Second)
		var counted []time.Time
		for _, a := range r.taken() {
			if s.trouble && a.at.After(since) && a.at.Sub(since) < coldPeriod {
				counted = append(counted, a.at)
				s.rec.line("arrival at replica %s %.0f ms after it became cold, request %s by host %s", r.id, a.at.Sub(since).Seconds()*1000, a.id, a.via)
			}
		}
		most, from := busiest(counted, time.Second)
		s.rec.line("replica %s: most requests in a second while cold: %d, from %s; the bound of FAILBACK is %.1f", r.id, most, s.rec.at(from), bound)
		worst = max(worst, most)
	}
	close(stop)
	<-done
	s.rec.line("answers to clients by status: %v", statuses)
	if float64(worst) > bound {
		return broken
	}
	return held
}
