package balance

import (
	"math"
	"time"
)

// awayFactor is how much better a node of another zone must be to be chosen over
// one of the own: bytes between zones cost, and zones lose each other. 1.2 and 1.5 were
// compared under overload; no difference showed.
const awayFactor = 1.2

// minimumLatency, in seconds, keeps the cost of a node that has not answered yet above 0.
const minimumLatency = 0.0005

// leastWarm is the least share of its calls that a new node is taken to be ready for, so
// that it gets some from the start.
const leastWarm = 0.1

// cost returns what a call at a node costs, in seconds: the latency, for each call in
// flight and this one, raised for another zone or region, for a node that has just
// started, and for one that refuses or fails a part of its calls.
func (b *Balancer) cost(now time.Time, s *state) float64 {
	latency := max(b.believedLatency(now, s), minimumLatency)
	switch {
	case s.target.Region != b.config.Region:
		latency += regionCost.Seconds()
	case s.target.Zone != b.config.Zone:
		latency += zoneCost.Seconds()
	}
	cost := latency * float64(s.inFlight+1)
	if !b.inOwnZone(s.target) {
		cost *= awayFactor
	}
	if age := now.Sub(s.target.Since); age < warmUp {
		cost /= max(age.Seconds()/warmUp.Seconds(), leastWarm)
	}
	served := 1 - s.refusals.At(now, refusalHalfLife)
	sound := 1 - b.faultsOf(now, s)
	return cost / max(served*math.Pow(sound, faultWeight), leastYield)
}

// believedLatency returns the latency of a node as it is believed now, in seconds. One
// that has not answered yet is taken for half as slow as a fast one: taken for far
// faster than all others, one that only refuses would get the first offer of every call.
func (b *Balancer) believedLatency(now time.Time, s *state) float64 {
	if s.latency == 0 {
		return unknownShare * b.fastLatency(now)
	}
	return s.latency * decay(now.Sub(s.learnedAt), latencyHalfLife)
}

const (
	// unknownShare is the part of a fast node's latency that one which has not
	// answered yet is taken to have, so that it is tried.
	unknownShare = 0.5
	// faultWeight is how much more a failed call costs than a refused one, which
	// is offered to another node at no loss: a failed one needs a retry, of which
	// there are few, or is lost.
	faultWeight = 3
	// leastYield bounds how much refused and failed calls raise the cost.
	leastYield = 0.01
)
