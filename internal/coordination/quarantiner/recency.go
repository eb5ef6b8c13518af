package quarantiner

import "time"

// recency holds when keys were last recorded. It forgets a key that is not recorded for two periods, or sooner when
// many other keys are recorded.
type recency[K comparable] struct {
	current, previous map[K]time.Time // previous holds the keys recorded before rotatedAt.
	rotatedAt         time.Time
}

// record records a key. At least the latest minKeys keys and at most twice as many are kept.
func (r *recency[K]) record(key K, minKeys int, period time.Duration, now time.Time) {
	if len(r.current) >= minKeys || now.Sub(r.rotatedAt) >= period {
		r.previous, r.current, r.rotatedAt = r.current, nil, now
	}
	if r.current == nil {
		r.current = make(map[K]time.Time)
	}
	r.current[key] = now
}

// last returns when a key was last recorded, or the zero time when that is not known.
func (r *recency[K]) last(key K) time.Time {
	if at, ok := r.current[key]; ok {
		return at
	}
	return r.previous[key]
}

// forget forgets a key.
func (r *recency[K]) forget(key K) {
	delete(r.current, key)
	delete(r.previous, key)
}
