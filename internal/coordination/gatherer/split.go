package gatherer

import (
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

// split distributes the calls of a route over its pools by smooth weighted round robin, so
// that each part gets its share also over few calls.
type split struct {
	shares  []wigeonspindle.Share
	credits []float64
}

// choose returns the pool for the next call of a route.
func (g *Gatherer) choose(route *wigeonspindle.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Pool
	}
	if g.splits == nil {
		g.splits = make(map[string]*split)
	}
	known, ok := g.splits[route.Name]
	if !ok || !slices.Equal(known.shares, route.Split) {
		known = &split{shares: route.Split, credits: make([]float64, len(route.Split))}
		for i, share := range route.Split {
			// A random start keeps hosts that serve few calls from all starting with one pool.
			known.credits[i] = share.Weight * g.Selector.Random.Float64()
		}
		g.splits[route.Name] = known
	}
	return known.next()
}

func (s *split) next() string {
	total := 0.0
	best := 0
	for i, share := range s.shares {
		total += share.Weight
		s.credits[i] += share.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return s.shares[best].Pool
}
