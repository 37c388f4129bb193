package balance

import (
	"math"
	"time"
)

// otherZoneFactor multiplies the cost of a node outside the local zone, because traffic
// between zones is charged for and zones may lose their connection.
const otherZoneFactor = 1.2

// minimumLatency in seconds keeps the cost of a node that has not answered yet above 0.
const minimumLatency = 0.0005

// minimumWarmShare is the share of its calls that a new node gets from the start.
const minimumWarmShare = 0.1

// cost returns the cost of a call to a node in seconds: its latency times the calls in
// flight, including this one. The cost is higher for a node in another zone or region,
// for a new node, and for one that refuses or fails some of its calls.
func (b *Balancer) cost(now time.Time, s *nodeState) float64 {
	latency := max(b.expectedLatency(now, s), minimumLatency)
	switch {
	case s.target.Region != b.config.Region:
		latency += regionCost.Seconds()
	case s.target.Zone != b.config.Zone:
		latency += zoneCost.Seconds()
	}
	cost := latency * float64(s.inFlight+1)
	if !b.inLocalZone(s.target) {
		cost *= otherZoneFactor
	}
	if age := now.Sub(s.target.Since); age < warmUp {
		cost /= max(age.Seconds()/warmUp.Seconds(), minimumWarmShare)
	}
	served := 1 - s.refusals.At(now, refusalHalfLife)
	succeeded := 1 - b.faultsOf(now, s)
	return cost / max(served*math.Pow(succeeded, faultWeight), minimumYield)
}

// expectedLatency returns the latency that is assumed for a node now, in seconds. A node
// that has not answered yet is assumed to be faster than a fast one, so that it is tried,
// but not by far: a node that only refuses would otherwise be the first choice of every
// call.
func (b *Balancer) expectedLatency(now time.Time, s *nodeState) float64 {
	if s.latency == 0 {
		return unknownLatencyShare * b.fastLatency(now)
	}
	return s.latency * decay(now.Sub(s.latencyAt), latencyHalfLife)
}

const (
	// unknownLatencyShare multiplies the latency of a fast node to get that of a node which
	// has not answered yet.
	unknownLatencyShare = 0.5
	// faultWeight is the weight of failed calls relative to refused ones. A refused call
	// is offered to another node without loss; a failed one takes a retry from the budget
	// or is lost.
	faultWeight = 3
	// minimumYield bounds the increase of the cost by refused and failed calls.
	minimumYield = 0.01
)
