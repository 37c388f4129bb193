package kernel

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// splitCounters give each request of a route a position in the line of its
// weights. The positions of a route are spread evenly from the first request
// on, and each process begins elsewhere, so that the shares come true over few
// requests and over many processes.
type splitCounters struct {
	byRoute sync.Map // route name to *splitCounter
}

type splitCounter struct {
	start float64
	count atomic.Uint64
}

// goldenRatio has the fractional part whose multiples are spread most evenly.
const goldenRatio = math.Phi

// next returns the position of the next request of the route, from 0 up to but
// not including 1.
func (s *splitCounters) next(route string) float64 {
	found, exists := s.byRoute.Load(route)
	if !exists {
		found, _ = s.byRoute.LoadOrStore(route, &splitCounter{start: rand.Float64()})
	}
	counter, _ := found.(*splitCounter)
	_, position := math.Modf(counter.start + float64(counter.count.Add(1))*goldenRatio)
	return position
}
