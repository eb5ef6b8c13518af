package server

import (
	"sync"
	"time"

	"wigeonspindle.example/wigeonspindle/internal/coordination/evictor"
)

// Memory bounds the memory that the requests and answers of all clients of a host hold. Listeners may
// share it.
type Memory struct {
	Limit int64 // Limit is in bytes. A client that alone holds memory may exceed it.

	mutex  sync.Mutex
	ledger evictor.Memory
	claims map[*evictor.Claim]*claim
	freed  chan struct{} // freed is closed when memory is given back; nil if nobody waits.
}

// claim is the memory of a request and then of its answer.
type claim struct {
	*evictor.Claim
	memory    *Memory
	interrupt func() // interrupt ends the wait for the client. It must not block.
}

// newClaim returns a claim of a request that has started to arrive.
func (m *Memory) newClaim(interrupt func()) *claim {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.claims == nil {
		m.ledger.Limit, m.claims = m.Limit, make(map[*evictor.Claim]*claim)
	}
	c := &claim{Claim: evictor.NewClaim(time.Now()), memory: m, interrupt: interrupt}
	m.claims[c.Claim] = c
	return c
}

// Used returns the memory in use, in bytes.
func (m *Memory) Used() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.ledger.Used()
}

// grow adds bytes and interrupts the clients that give way. If it returns false, it also returns when
// to try again: when freed is closed, or after wait.
func (c *claim) grow(bytes int64) (granted bool, freed <-chan struct{}, wait time.Duration) {
	granted, interrupts, freed, wait := c.memory.grow(c, bytes)
	for _, interrupt := range interrupts {
		interrupt()
	}
	return granted, freed, wait
}

func (m *Memory) grow(c *claim, bytes int64) (granted bool, interrupts []func(), freed <-chan struct{}, wait time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	granted, victims, wait := m.ledger.Grow(c.Claim, bytes, time.Now())
	for _, victim := range victims {
		interrupts = append(interrupts, m.claims[victim].interrupt)
	}
	if !granted && m.freed == nil {
		m.freed = make(chan struct{})
	}
	return granted, interrupts, m.freed, wait
}

// hold reports that the request is complete. It returns false when it has given way before.
func (c *claim) hold() bool {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	return c.Hold()
}

// reply gives back the memory of the request. From now on, the claim is for its answer.
func (c *claim) reply(interrupt func()) {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.memory.ledger.Reply(c.Claim, time.Now())
	c.interrupt = interrupt
	c.memory.signal()
}

// progress reports that the client reads its answer.
func (c *claim) progress() {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.Progress(time.Now())
}

// release gives back the memory and ends the claim.
func (c *claim) release() {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.memory.ledger.Release(c.Claim)
	delete(c.memory.claims, c.Claim)
	c.memory.signal()
}

// signal wakes those who wait for memory.
func (m *Memory) signal() {
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}
