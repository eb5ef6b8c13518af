package loader

import (
	"math/rand/v2"
	"slices"
	"time"

	"wigeonspindle.example/wigeonspindle"
)

// arrival is one request of the open-loop load with its intended start time.
type arrival struct {
	at    time.Duration
	index string
	class wigeonspindle.Class
}

// arrivals generates the requests of a run, with a Poisson process for each traffic stream.
// Start times do not depend on answers, so that a slow system does not reduce its own load.
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
