package gatherer

import (
	"slices"

	"wigeonspindle.example/wigeonspindle"
)

// poolSplitter distributes the calls of a route over its pools by smooth weighted round robin, so
// that each pool gets its share even over a small number of calls.
type poolSplitter struct {
	shares  []wigeonspindle.Share
	credits []float64
}

// choosePool returns the pool for the next call of a route.
func (g *Gatherer) choosePool(route *wigeonspindle.Route) string {
	switch len(route.Split) {
	case 0:
		return "" // A route that names no pool has no replicas.
	case 1:
		return route.Split[0].Pool
	}
	if g.splitters == nil {
		g.splitters = make(map[string]*poolSplitter)
	}
	splitter, ok := g.splitters[route.Name]
	if !ok || !slices.Equal(splitter.shares, route.Split) {
		splitter = &poolSplitter{shares: route.Split, credits: make([]float64, len(route.Split))}
		for i, share := range route.Split {
			// Random initial credits keep hosts with few calls from all starting with the
			// same pool.
			splitter.credits[i] = share.Weight * g.Selector.Random.Float64()
		}
		g.splitters[route.Name] = splitter
	}
	return splitter.nextPool()
}

func (s *poolSplitter) nextPool() string {
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
