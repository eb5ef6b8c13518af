package loader

import (
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// arrival is one request of the open loop with its intended start.
type arrival struct {
	at    time.Duration
	index string
	class wigeonspindle.Class
}

// arrivals returns the requests of a run: a Poisson process for each stream of traffic. The
// starts do not depend on answers, so that a slow system does not slow its own load.
func arrivals(traffic []Traffic, duration time.Duration, seed uint64) []arrival {
	var all []arrival
	for i, stream := range traffic {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		var at time.Duration
		for stream.Rate > 0 {
			at += time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second))
			if at >= duration {
				break
			}
			all = append(all, arrival{at: at, index: stream.Index, class: stream.Class})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}
