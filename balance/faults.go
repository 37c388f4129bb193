package balance

import "time"

// SetFaults records the share of recent requests, 0 to 1, that the back end of a node
// failed, as reported by the node. The node sees the requests of all callers and therefore
// detects faults sooner than a single caller.
func (b *Balancer) SetFaults(now time.Time, id string, share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s, exists := b.states[id]; exists {
		s.reportedFaults = DecayingShare{value: min(max(share, 0), 1), updatedAt: now}
	}
}

// faultsOf returns the share of a node's calls that fail: the higher one of the share
// observed by this process and the share reported by the node.
func (b *Balancer) faultsOf(now time.Time, s *nodeState) float64 {
	return max(s.faults.At(now, FaultHalfLife), s.reportedFaults.At(now, FaultHalfLife))
}

const (
	// reliableMargin is the difference to the lowest share of failed calls up to which a
	// node gets calls that must not be repeated. One lost answer in about thirty may be
	// chance.
	reliableMargin = 0.03
	// reliableLoad is the load from which on a node is too full to take over calls from
	// less reliable nodes.
	reliableLoad = fullLoad
)

// reliable returns the candidates with room that have the lowest share of failed calls,
// all candidates if none has room.
func (b *Balancer) reliable(now time.Time, candidates []*nodeState) []*nodeState {
	minimum := 1.0
	for _, candidate := range candidates {
		if b.hasRoom(now, candidate) {
			minimum = min(minimum, b.faultsOf(now, candidate))
		}
	}
	chosen := make([]*nodeState, 0, len(candidates))
	for _, candidate := range candidates {
		if b.hasRoom(now, candidate) && b.faultsOf(now, candidate) <= minimum+reliableMargin {
			chosen = append(chosen, candidate)
		}
	}
	if len(chosen) == 0 {
		return candidates
	}
	return chosen
}

func (b *Balancer) hasRoom(now time.Time, s *nodeState) bool {
	return s.load.At(now, loadHalfLife) < reliableLoad
}
