package simulator

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxTrackedBodies bounds the request bodies that a CompletionLog records.
const maxTrackedBodies = 1 << 18

// CompletionLog records, over all targets of an Environment, which shards completed a request
// body. Tests compare reported coverage with it, so each query needs a unique body.
type CompletionLog struct {
	mutex  sync.Mutex
	bodies map[string]map[string]string
}

// Add records that a shard completed the body on a snapshot. On a nil log it does nothing.
func (l *CompletionLog) Add(body, shard, snapshot string) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	shards := l.bodies[body]
	if shards == nil {
		if l.bodies == nil {
			l.bodies = make(map[string]map[string]string)
		}
		if len(l.bodies) >= maxTrackedBodies {
			return
		}
		shards = make(map[string]string)
		l.bodies[body] = shards
	}
	shards[shard] = snapshot
}

// Shards returns the shards that completed the body, each with the latest snapshot used.
func (l *CompletionLog) Shards(body string) map[string]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.bodies[body])
}

func increment(counts map[string]int, key string) map[string]int {
	if counts == nil {
		counts = make(map[string]int)
	}
	counts[key]++
	return counts
}

func cloneCounts(counts map[string]int) map[string]int { return maps.Clone(counts) }

func hashString(text string) uint64 { return xxhash.Sum64String(text) }
