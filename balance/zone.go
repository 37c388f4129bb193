package balance

import (
	"slices"
	"time"
)

// Calls stay in the local zone while its healthy nodes have room, because traffic between
// zones is charged for and zones may lose their connection. The number of nodes does not
// matter: a single healthy node with room keeps the calls of its zone, and nodes of other
// zones remain available to retries.

const (
	// fullyLocalLoad is the mean load of the healthy nodes of the zone up to which calls
	// stay there. The share that stays then falls to 0 at fullLoad, where random arrivals
	// begin to queue.
	fullyLocalLoad = 0.6
	fullLoad       = 0.85
	// maximumFaults and maximumRefusals are the shares of failed and refused calls from
	// which on a node is not healthy. One recent failed call stays below maximumFaults, two
	// do not (smoothing).
	maximumFaults   = 0.15
	maximumRefusals = 0.15
	// maximumSlowdown is the ratio to the latency of a fast node up to which a node is
	// healthy. Healthy back ends of one service have differed in speed by up to three times; one
	// in trouble is slower than that.
	maximumSlowdown = 4
	// fastQuantile is the quantile of the nodes' latencies that counts as the latency of a
	// fast node. The minimum could be that of a node with a single answer that was fast by
	// chance.
	fastQuantile = 0.25
	// fastLatencyInterval is how long the latency of a fast node is cached.
	fastLatencyInterval = 100 * time.Millisecond
	// maximumLocalShare is the maximum share of calls that stay in the zone. The other
	// calls compare all nodes, so that a slow zone is detected.
	maximumLocalShare = 0.98
)

// localShare returns the share of calls that stays in a zone of the given mean load, 0 to
// maximumLocalShare.
func localShare(load float64) float64 {
	return min(max((fullLoad-load)/(fullLoad-fullyLocalLoad), 0), maximumLocalShare)
}

// randomParts is the resolution of random numbers that are compared with a share.
const randomParts = 1000

// zoneCandidates returns the healthy candidates of the local zone if the call should stay
// there, all candidates otherwise.
func (b *Balancer) zoneCandidates(now time.Time, candidates []*nodeState) []*nodeState {
	local := b.healthyInLocalZone(now, candidates)
	if len(local) == 0 {
		return candidates
	}
	sum := 0.0
	for _, candidate := range local {
		sum += candidate.load.At(now, loadHalfLife)
	}
	share := localShare(sum / float64(len(local)))
	if share == 0 || b.config.Random(randomParts) >= int(share*randomParts) {
		return candidates
	}
	return local
}

// healthyInLocalZone returns the healthy candidates of the local zone.
func (b *Balancer) healthyInLocalZone(now time.Time, candidates []*nodeState) []*nodeState {
	fast := b.fastLatency(now)
	local := make([]*nodeState, 0, len(candidates))
	for _, candidate := range candidates {
		if b.inLocalZone(candidate.target) && b.healthy(now, candidate, fast) {
			local = append(local, candidate)
		}
	}
	return local
}

// healthy reports whether a node may keep the calls of its zone: it has reported its load,
// hardly fails or refuses calls, and is not far slower than a fast node. A new node does
// not count as healthy before it has reported its load.
func (b *Balancer) healthy(now time.Time, s *nodeState, fast float64) bool {
	return s.loadKnown &&
		b.faultsOf(now, s) < maximumFaults &&
		s.refusals.At(now, refusalHalfLife) < maximumRefusals &&
		s.latency <= maximumSlowdown*max(fast, minimumLatency)
}

// fastLatency returns the latency of a fast node in seconds, 0 if no latency is known.
func (b *Balancer) fastLatency(now time.Time) float64 {
	if b.cachedFastLatency > 0 && now.Sub(b.fastLatencyAt) < fastLatencyInterval {
		return b.cachedFastLatency
	}
	b.fastLatencyAt = now
	latencies := make([]float64, 0, len(b.list))
	for _, s := range b.list {
		if s.latency > 0 {
			latencies = append(latencies, s.latency)
		}
	}
	b.cachedFastLatency = 0
	if len(latencies) > 0 {
		slices.Sort(latencies)
		b.cachedFastLatency = latencies[int(fastQuantile*float64(len(latencies)))]
	}
	return b.cachedFastLatency
}
