package requester

import (
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// addressCache keeps the last address list with its expiry, and the address in use.
type addressCache struct {
	domain    string
	addresses []wigeonspindle.Address
	expires   time.Time
	current   string
}

// update replaces the list, unless the new one is empty. Addresses in the caller's failure
// domain come first.
func (c *addressCache) update(addresses []wigeonspindle.Address, ttl time.Duration, now time.Time) {
	if len(addresses) == 0 {
		return
	}
	c.addresses = slices.Clone(addresses)
	slices.SortStableFunc(c.addresses, func(x, y wigeonspindle.Address) int { return c.distance(x) - c.distance(y) })
	c.expires = now.Add(ttl)
	if !slices.ContainsFunc(c.addresses, func(a wigeonspindle.Address) bool { return a.Address == c.current }) {
		c.current = ""
	}
}

func (c *addressCache) isFresh(now time.Time) bool {
	return len(c.addresses) > 0 && now.Before(c.expires)
}

// pick returns the address in use, unless it was tried, or else the nearest one that was not
// tried. When all were tried, it returns the one that was tried first.
func (c *addressCache) pick(tried []string) string {
	if c.current != "" && !slices.Contains(tried, c.current) {
		return c.current
	}
	for _, address := range c.addresses {
		if !slices.Contains(tried, address.Address) {
			c.current = address.Address
			return c.current
		}
	}
	return tried[0]
}

func (c *addressCache) distance(address wigeonspindle.Address) int {
	if address.Domain == c.domain {
		return 0
	}
	return 1
}
