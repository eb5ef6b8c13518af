package main

import (
	"sync"
	"time"
)

// arrival is one request that named a replica and reached it.
type arrival struct {
	id      string
	replica string
	at      time.Time
}

// journal keeps what the replicas and the clients have seen, for the check at the end of a case.
type journal struct {
	mutex    sync.Mutex
	arrivals []arrival
	runs     []arrival
	answers  map[string]answer // answers holds the answer to each request by its ID.
}

func newJournal() *journal { return &journal{answers: make(map[string]answer)} }

func (j *journal) arrived(r *replica, id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.arrivals = append(j.arrivals, arrival{id: id, replica: r.id, at: time.Now()})
}

func (j *journal) ran(r *replica, id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs = append(j.runs, arrival{id: id, replica: r.id, at: time.Now()})
}

func (j *journal) answered(id string, got answer) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.answers[id] = got
}

// runsByID returns the number of runs of each request.
func (j *journal) runsByID() map[string]int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	runs := make(map[string]int)
	for _, run := range j.runs {
		runs[run.id]++
	}
	return runs
}

// answerTo returns the answer to a request; its status is 0 if there was none.
func (j *journal) answerTo(id string) answer {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.answers[id]
}

// arrivalsAt returns the requests that reached a replica, in order of time.
func (j *journal) arrivalsAt(replica string) []arrival {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var found []arrival
	for _, a := range j.arrivals {
		if a.replica == replica {
			found = append(found, a)
		}
	}
	return found
}
