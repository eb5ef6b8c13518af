// Package deduplicator records the once requests of one host incarnation, so that each
// identity runs at most once. Methods take the current time as an argument, so that traces
// replay deterministically.
package deduplicator

import (
	"container/heap"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// Decision says what is to be done with a once request.
type Decision uint8

// Decisions on a once request.
const (
	Run    Decision = iota + 1 // Run executes the request; its answer must be passed to Finish.
	Wait                       // Wait waits for the answer of the same request, which is in progress.
	Replay                     // Replay returns the recorded answer.
	Refuse                     // Refuse rejects the request with the refusal in the result.
)

// Result is a decision with the recorded answer for Replay or the refusal for Refuse.
type Result struct {
	Decision Decision
	Answer   wigeonspindle.Answer
	Refusal  *wigeonspindle.Refusal
}

// Deduplicator is the table of the identities that name one host incarnation. An identity
// that has no entry and was issued after every evicted one has never run.
type Deduplicator struct {
	Incarnation wigeonspindle.Incarnation
	// MaxEntries bounds the number of entries, and MaxBytes the total size of the recorded
	// bodies. Only the answers of requests already accepted may exceed MaxBytes.
	MaxEntries, MaxBytes int

	entries    map[wigeonspindle.Identity]*entry
	expiryHeap expiryHeap
	bodyBytes  int
	// latestEvicted is the latest issue time of an evicted entry. Identities issued up to then
	// are refused, because after an increase of the lifetime or a step back of the clock an
	// evicted identity would otherwise run again.
	latestEvicted time.Time
}

type entry struct {
	identity    wigeonspindle.Identity
	fingerprint uint64
	expires     time.Time
	answer      *wigeonspindle.Answer // answer is nil while the request is in progress.
	heapIndex   int
}

// Begin returns the decision on a once request and, for Run, adds an entry for its identity.
func (d *Deduplicator) Begin(query wigeonspindle.Query, lifetime time.Duration, now time.Time) Result {
	d.evictExpired(now)
	identity := NormalizeIdentity(query.Identity)
	if existing := d.entries[identity]; existing != nil {
		switch {
		case existing.fingerprint != query.Fingerprint:
			return refuse(wigeonspindle.CodeDuplicate, wigeonspindle.MayHaveRun, "the identity belongs to another request")
		case existing.answer == nil:
			return Result{Decision: Wait}
		}
		return Result{Decision: Replay, Answer: *existing.answer}
	}
	expires := identity.Issued.Add(lifetime)
	switch {
	case identity.Incarnation != d.Incarnation:
		return refuse(wigeonspindle.CodeGone, wigeonspindle.MayHaveRun, "the identity names another run of the host")
	case !now.Before(expires):
		return refuse(wigeonspindle.CodeExpired, wigeonspindle.MayHaveRun, "the identity has exceeded its lifetime")
	case !identity.Issued.After(d.latestEvicted):
		return refuse(wigeonspindle.CodeDuplicate, wigeonspindle.MayHaveRun, "the outcome of the identity may be forgotten")
	case identity.Issued.After(now.Add(lifetime)):
		return refuse(wigeonspindle.CodeInvalid, wigeonspindle.MayHaveRun, "the identity was issued in the future")
	case len(d.entries) >= d.MaxEntries || d.bodyBytes >= d.MaxBytes:
		return refuse(wigeonspindle.CodeOverloaded, wigeonspindle.NotRun, "the table of identities is full")
	}
	if d.entries == nil {
		d.entries = make(map[wigeonspindle.Identity]*entry)
	}
	added := &entry{identity: identity, fingerprint: query.Fingerprint, expires: expires}
	d.entries[identity] = added
	heap.Push(&d.expiryHeap, added)
	return Result{Decision: Run}
}

// Finish records the answer of a request for which Begin returned Run. An answer with verdict
// NotRun removes the entry instead, because the identity may be tried again.
func (d *Deduplicator) Finish(identity wigeonspindle.Identity, answer wigeonspindle.Answer) {
	existing := d.entries[NormalizeIdentity(identity)]
	if existing == nil || existing.answer != nil {
		return
	}
	if answer.Verdict == wigeonspindle.NotRun {
		heap.Remove(&d.expiryHeap, existing.heapIndex)
		delete(d.entries, existing.identity)
		return
	}
	existing.answer = &answer
	d.bodyBytes += bodySize(answer)
}

// Len returns the number of entries.
func (d *Deduplicator) Len() int { return len(d.entries) }

// evictExpired removes the recorded answers whose identity has exceeded its lifetime. Requests
// in progress are kept regardless of their age.
func (d *Deduplicator) evictExpired(now time.Time) {
	for len(d.expiryHeap) > 0 && !now.Before(d.expiryHeap[0].expires) {
		oldest := d.expiryHeap[0]
		if oldest.answer == nil {
			oldest.expires = now.Add(time.Second)
			heap.Fix(&d.expiryHeap, 0)
			continue
		}
		heap.Pop(&d.expiryHeap)
		delete(d.entries, oldest.identity)
		d.bodyBytes -= bodySize(*oldest.answer)
		if oldest.identity.Issued.After(d.latestEvicted) {
			d.latestEvicted = oldest.identity.Issued
		}
	}
}

// NormalizeIdentity strips the location and the monotonic clock reading from the issue time, so
// that an identity decoded from a message and a local one are equal map keys.
func NormalizeIdentity(identity wigeonspindle.Identity) wigeonspindle.Identity {
	identity.Issued = identity.Issued.UTC().Round(0)
	return identity
}

func bodySize(answer wigeonspindle.Answer) int {
	total := 0
	for _, result := range answer.Results {
		total += len(result.Body)
	}
	return total
}

func refuse(code wigeonspindle.Code, verdict wigeonspindle.Verdict, message string) Result {
	return Result{Decision: Refuse, Refusal: &wigeonspindle.Refusal{Code: code, Verdict: verdict, Field: "id", Message: message}}
}

// expiryHeap implements heap.Interface with the entry that expires first at the root.
type expiryHeap []*entry

// Len implements heap.Interface.
func (e expiryHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiryHeap) Less(i, j int) bool { return e[i].expires.Before(e[j].expires) }

// Swap implements heap.Interface.
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	added := x.(*entry)
	added.heapIndex = len(*e)
	*e = append(*e, added)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = nil
	*e = (*e)[:len(*e)-1]
	return last
}
