package requester

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// book keeps the address answer for its time to live and the host in use.
type book struct {
	domain    string
	addresses []wigeonspindle.Address
	expires   time.Time
	chosen    string
}

// learn replaces the list.
func (b *book) learn(addresses []wigeonspindle.Address, ttl time.Duration, now time.Time) {
	if len(addresses) == 0 {
		return
	}
	b.addresses = slices.Clone(addresses)
	slices.SortStableFunc(b.addresses, func(x, y wigeonspindle.Address) int { return b.distance(x) - b.distance(y) })
	b.expires = now.Add(ttl)
	if !slices.ContainsFunc(b.addresses, func(a wigeonspindle.Address) bool { return a.Address == b.chosen }) {
		b.chosen = ""
	}
}

func (b *book) fresh(now time.Time) bool { return len(b.addresses) > 0 && now.Before(b.expires) }

// pick returns the host in use, or the nearest one that is not in avoided. When all are
// avoided, the one that was avoided first is tried again.
func (b *book) pick(avoided []string) string {
	if b.chosen != "" && !slices.Contains(avoided, b.chosen) {
		return b.chosen
	}
	for _, address := range b.addresses {
		if !slices.Contains(avoided, address.Address) {
			b.chosen = address.Address
			return b.chosen
		}
	}
	return avoided[0]
}

func (b *book) distance(address wigeonspindle.Address) int {
	if address.Domain == b.domain {
		return 0
	}
	return 1
}
