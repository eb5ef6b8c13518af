package exchanger

import (
	"time"

	"github.com/cockroachdb/errors"

	"wigeonspindle.example/wigeonspindle"
)

const (
	// dialTimeWeight is the weight of a new sample in the average time of a dial.
	dialTimeWeight = 0.1
	// dialPatienceFactor is the time after which a dial counts as stalled, as a multiple of the average.
	// Many connections that open at once take a few times the average.
	dialPatienceFactor = 4
	// minDialPatience and maxDialPatience bound that time. It has to leave room for another replica
	// within the objective of an urgent call.
	minDialPatience = 25 * time.Millisecond
	maxDialPatience = 200 * time.Millisecond
)

// errWithdrawn is the error of a job that was still waiting for a connection when its replica said that it
// wants no requests.
var errWithdrawn = errors.New("the replica wants no requests")

// Take removes a job that waits for a connection. It reports false if the job does not wait any more.
func (p *Pool) Take(replica string, job *Job) bool {
	r, ok := p.replicas[replica]
	if !ok {
		return false
	}
	for i, waiting := range r.waiting {
		if waiting == job {
			r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Withdraw fails the jobs that wait for a connection to a replica, as not sent.
func (p *Pool) Withdraw(replica string) {
	r, ok := p.replicas[replica]
	if !ok {
		return
	}
	waiting := r.waiting
	r.waiting = nil
	for _, job := range waiting {
		p.OnResult(job, wigeonspindle.Exchange{Verdict: wigeonspindle.NotRun, Code: wigeonspindle.CodeOverloaded}, errWithdrawn)
	}
}

// HasWaiting reports whether any job waits for a connection.
func (p *Pool) HasWaiting() bool {
	for _, r := range p.replicas {
		if len(r.waiting) > 0 {
			return true
		}
	}
	return false
}

// WithdrawExcept withdraws the jobs that wait for a connection to any other replica than those given.
func (p *Pool) WithdrawExcept(accepting map[string]bool) {
	var replicas []string
	for id, r := range p.replicas {
		if len(r.waiting) > 0 && !accepting[id] {
			replicas = append(replicas, id)
		}
	}
	for _, id := range replicas {
		p.Withdraw(id)
	}
}

// DialPatience returns how long a job should wait for a connection before another replica is tried: several
// times the usual time in which replicas accept one.
func (p *Pool) DialPatience() time.Duration {
	return min(max(time.Duration(dialPatienceFactor*float64(p.dialTime)), minDialPatience), maxDialPatience)
}

// recordDial updates the usual time in which replicas accept a connection.
func (p *Pool) recordDial(took time.Duration) {
	if p.dialTime == 0 {
		p.dialTime = took
		return
	}
	p.dialTime += time.Duration(dialTimeWeight * float64(took-p.dialTime))
}
