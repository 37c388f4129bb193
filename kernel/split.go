package kernel

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// splitCounters give each request of a route a position in [0, 1), by which one of the
// weighted services of the route is chosen. The positions are a low-discrepancy sequence
// with a random start in each process. The shares of the services are therefore close to
// their weights after a few requests, also summed over many processes.
type splitCounters struct {
	byRoute sync.Map // route name to *splitCounter
}

type splitCounter struct {
	start float64
	count atomic.Uint64
}

// goldenRatio is the step of the sequence. The fractional parts of its multiples are spread
// most evenly.
const goldenRatio = math.Phi

// next returns the position of the next request of the route.
func (s *splitCounters) next(route string) float64 {
	found, exists := s.byRoute.Load(route)
	if !exists {
		found, _ = s.byRoute.LoadOrStore(route, &splitCounter{start: rand.Float64()})
	}
	counter, _ := found.(*splitCounter)
	_, position := math.Modf(counter.start + float64(counter.count.Add(1))*goldenRatio)
	return position
}
