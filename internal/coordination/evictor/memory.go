package evictor

import "time"

const (
	// minRequestAge is how long a client may take for a request before it gives way to others. Younger
	// requests would otherwise displace one another in a burst, and none would complete.
	minRequestAge = time.Second
	// minReplyAge is how long a client may read nothing of its answer before it gives way to others.
	minReplyAge = 100 * time.Millisecond
)

// Memory bounds the memory that the requests and answers of all clients of a host hold. When it is
// used up, the client gives way that has held the most memory for the longest time, because a
// client that sends its whole request in one go holds it only briefly. It is not safe for concurrent
// use.
type Memory struct {
	Limit int64 // Limit is in bytes. A client that alone holds memory may exceed it.

	used   int64
	claims map[*Claim]struct{} // claims holds those with memory.
}

// Claim is the memory of one client.
type Claim struct {
	since   time.Time
	bytes   int64
	stage   Stage // stage is Receiving, Handling or Replying.
	revoked bool  // revoked reports that the claim has given way.
}

// NewClaim returns a claim without memory of a client that has started to send a request.
func NewClaim(now time.Time) *Claim { return &Claim{since: now} }

// Used returns the memory in use, in bytes.
func (m *Memory) Used() int64 { return m.used }

// Grow adds bytes to a claim. It returns the claims that have given way to it, whose clients must be
// interrupted. If the bytes are not granted, because the claim has given way itself or no client that
// holds more may give way, it returns the time until one may, at most minRequestAge.
func (m *Memory) Grow(claim *Claim, bytes int64, now time.Time) (granted bool, victims []*Claim, wait time.Duration) {
	if claim.revoked {
		return false, nil, minRequestAge
	}
	for m.used+bytes > m.Limit && m.used > claim.bytes {
		victim, wait := m.heaviest(claim, claim.weight(bytes, now), now)
		if victim == nil {
			return false, victims, wait
		}
		victim.revoked = true
		m.Release(victim)
		victims = append(victims, victim)
	}
	if m.claims == nil {
		m.claims = make(map[*Claim]struct{})
	}
	if bytes > 0 {
		m.claims[claim] = struct{}{}
	}
	claim.bytes += bytes
	m.used += bytes
	return true, victims, 0
}

// Hold reports that the request is complete: its memory stays until Release or Reply. It returns
// false when the claim has given way before.
func (c *Claim) Hold() bool {
	c.stage = Handling
	return !c.revoked
}

// Reply gives back the memory of the request. From now on, the claim is for its answer.
func (m *Memory) Reply(claim *Claim, now time.Time) {
	m.Release(claim)
	claim.since, claim.stage = now, Replying
}

// Progress reports that the client has read a part of its answer.
func (c *Claim) Progress(now time.Time) { c.since = now }

// Release gives back the memory of a claim.
func (m *Memory) Release(claim *Claim) {
	delete(m.claims, claim)
	m.used -= claim.bytes
	claim.bytes = 0
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
