package evictor

import (
	"sync"
	"time"
)

const (
	// minRequestAge is how long a client may take for a request before it gives way to others. Younger
	// requests would otherwise displace one another in a burst, and none would complete.
	minRequestAge = time.Second
	// minReplyAge is how long a client may read nothing of its answer before it gives way to others.
	minReplyAge = 100 * time.Millisecond
)

// Memory bounds the memory that the requests and answers of all clients of a host hold. When it is
// used up, the client gives way that has held the most memory for the longest time, because a
// client that sends its whole request in one go holds it only briefly. It is safe for concurrent use.
type Memory struct {
	Limit int64 // Limit is in bytes. A client that alone holds memory may exceed it.

	mutex  sync.Mutex
	used   int64
	claims map[*Claim]struct{} // claims holds those with memory.
	freed  chan struct{}       // freed is closed when memory is given back; nil if nobody waits.
}

// Claim is the memory of one client.
type Claim struct {
	memory    *Memory
	interrupt func() // interrupt ends the wait for the client.
	since     time.Time
	bytes     int64
	stage     Stage // stage is Receiving, Handling or Replying.
	revoked   bool  // revoked reports that the claim has given way.
}

// NewClaim returns a claim without memory of a client that has started to send a request. When the
// claim gives way, interrupt is called to end the wait for the client. It runs on the goroutine of
// another client and must not block.
func (m *Memory) NewClaim(now time.Time, interrupt func()) *Claim {
	return &Claim{interrupt: interrupt, memory: m, since: now}
}

// Used returns the memory in use, in bytes.
func (m *Memory) Used() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.used
}

// Freed returns a channel that is closed when memory is given back.
func (m *Memory) Freed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed
}

// Grow adds bytes to a claim. It reports false when the claim has given way, or when the memory is
// used up and no client that holds more may give way.
func (c *Claim) Grow(bytes int64, now time.Time) bool {
	granted, _ := c.TryGrow(bytes, now)
	return granted
}

// TryGrow is like Grow. If it returns false, it also returns the time until a client may give way,
// which is at most minRequestAge.
func (c *Claim) TryGrow(bytes int64, now time.Time) (granted bool, wait time.Duration) {
	granted, wait, interrupts := c.memory.grow(c, bytes, now)
	for _, interrupt := range interrupts {
		interrupt()
	}
	return granted, wait
}

// Hold reports that the request is complete: its memory stays until Release or Reply. It returns
// false when the claim has given way before.
func (c *Claim) Hold() bool {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.stage = Handling
	return !c.revoked
}

// Reply gives back the memory of the request. From now on, the claim is for its answer, and interrupt
// takes the place of the function of NewClaim.
func (c *Claim) Reply(now time.Time, interrupt func()) {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.memory.remove(c)
	c.interrupt, c.since, c.stage = interrupt, now, Replying
}

// Progress reports that the client has read a part of its answer.
func (c *Claim) Progress(now time.Time) {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.since = now
}

// Release gives back the memory of a claim.
func (c *Claim) Release() {
	c.memory.mutex.Lock()
	defer c.memory.mutex.Unlock()
	c.memory.remove(c)
}

// grow adds bytes to a claim. It returns the interrupts of the claims that have given way to it, which
// the caller must call, and the time until one may if it does not add them.
func (m *Memory) grow(claim *Claim, bytes int64, now time.Time) (granted bool, wait time.Duration, interrupts []func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if claim.revoked {
		return false, minRequestAge, nil
	}
	for m.used+bytes > m.Limit && m.used > claim.bytes {
		victim, wait := m.heaviest(claim, claim.weight(bytes, now), now)
		if victim == nil {
			return false, wait, interrupts
		}
		victim.revoked = true
		m.remove(victim)
		interrupts = append(interrupts, victim.interrupt)
	}
	if m.claims == nil {
		m.claims = make(map[*Claim]struct{})
	}
	if bytes > 0 {
		m.claims[claim] = struct{}{}
	}
	claim.bytes += bytes
	m.used += bytes
	return true, 0, interrupts
}

// heaviest returns the claim other than the given one that gives way first, or nil if no claim
// heavier than weight may give way, and the time until one may.
func (m *Memory) heaviest(except *Claim, weight float64, now time.Time) (heaviest *Claim, wait time.Duration) {
	wait = minRequestAge
	for claim := range m.claims {
		if claim == except || claim.stage == Handling {
			continue
		}
		least := minRequestAge
		if claim.stage == Replying {
			least = minReplyAge
		}
		if left := least - now.Sub(claim.since); left > 0 {
			wait = min(wait, left)
		} else if w := claim.weight(0, now); w > weight {
			heaviest, weight = claim, w
		}
	}
	return heaviest, wait
}

// weight is the memory of a claim after the addition of some bytes, times its age.
func (c *Claim) weight(added int64, now time.Time) float64 {
	return float64(c.bytes+added) * now.Sub(c.since).Seconds()
}

func (m *Memory) remove(claim *Claim) {
	delete(m.claims, claim)
	if claim.bytes == 0 {
		return
	}
	m.used -= claim.bytes
	claim.bytes = 0
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}
