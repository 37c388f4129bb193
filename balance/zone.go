package balance

import (
	"slices"
	"time"
)

// Calls stay in the zone of this process while the zone has room: bytes between zones
// cost, and zones lose each other. What the nodes of the zone show decides, not how many
// there are: one node keeps the calls of its zone as long as it has room and is sound, and
// a sound node elsewhere is one retry away.

const (
	// Calls stay in the zone while the mean load of its sound nodes is below localBelow.
	// From there on, the share that stays falls until it ends at fullLoad, where
	// random arrivals begin to queue. Estimates.
	localBelow = 0.6
	fullLoad   = 0.85
	// mostFaults and mostRefusals are the shares of failed and refused calls from
	// which on a node of the zone does not keep calls. One failure among the last
	// calls (smoothing) is below mostFaults, two are not.
	mostFaults   = 0.15
	mostRefusals = 0.15
	// mostSlower is how many times the latency of a fast node a node of the zone may
	// have and keep its calls. Sound back ends of one service have differed in speed by
	// up to three times; a back end in trouble is slower than that.
	mostSlower = 4
	// fastQuantile tells which node is a fast one: a quarter of the nodes are faster.
	// The fastest of many would be one that was called once, and answered by luck.
	fastQuantile = 0.25
	// fastInterval is the time between two looks for a fast node.
	fastInterval = 100 * time.Millisecond
	// mostLocal is the largest share of calls that stay: the others compare all nodes,
	// so that a slow zone is seen to be slow.
	mostLocal = 0.98
)

// localShare is the share of calls that stay at nodes of a load, 0 to mostLocal.
func localShare(load float64) float64 {
	return min(max((fullLoad-load)/(fullLoad-localBelow), 0), mostLocal)
}

// randomParts is the resolution of a random share.
const randomParts = 1000

// zoneCandidates returns the sound candidates of the own zone when a call is to stay
// there, all candidates otherwise.
func (b *Balancer) zoneCandidates(now time.Time, candidates []*state) []*state {
	own := b.soundOwnZone(now, candidates)
	if len(own) == 0 {
		return candidates
	}
	sum := 0.0
	for _, candidate := range own {
		sum += candidate.load.At(now, loadHalfLife)
	}
	share := localShare(sum / float64(len(own)))
	if share == 0 || b.config.Random(randomParts) >= int(share*randomParts) {
		return candidates
	}
	return own
}

// soundOwnZone returns the candidates of the own zone that may keep calls.
func (b *Balancer) soundOwnZone(now time.Time, candidates []*state) []*state {
	fast := b.fastLatency(now)
	own := make([]*state, 0, len(candidates))
	for _, candidate := range candidates {
		if b.inOwnZone(candidate.target) && b.keepsCalls(now, candidate, fast) {
			own = append(own, candidate)
		}
	}
	return own
}

// keepsCalls reports whether a node may keep the calls of its zone: it has shown its
// load, neither fails nor refuses, and is not far slower than a fast one. One that takes
// calls for the first time shares them with all.
func (b *Balancer) keepsCalls(now time.Time, s *state, fast float64) bool {
	return s.loadKnown &&
		b.faultsOf(now, s) < mostFaults &&
		s.refusals.At(now, refusalHalfLife) < mostRefusals &&
		s.latency <= mostSlower*max(fast, minimumLatency)
}

// fastLatency returns the latency of a fast node, in seconds, 0 when none has shown one.
func (b *Balancer) fastLatency(now time.Time) float64 {
	if b.fast > 0 && now.Sub(b.fastAt) < fastInterval {
		return b.fast
	}
	b.fastAt = now
	latencies := make([]float64, 0, len(b.list))
	for _, s := range b.list {
		if s.latency > 0 {
			latencies = append(latencies, s.latency)
		}
	}
	b.fast = 0
	if len(latencies) > 0 {
		slices.Sort(latencies)
		b.fast = latencies[int(fastQuantile*float64(len(latencies)))]
	}
	return b.fast
}
