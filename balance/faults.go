package balance

import "time"

// SetFaults records the share of requests, 0 to 1, that the back end of a node
// failed lately, as the node reports. The node sees the requests of all callers, so that
// it knows sooner than one caller learns from its own calls.
func (b *Balancer) SetFaults(now time.Time, id string, share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s, exists := b.states[id]; exists {
		s.reported = DecayingShare{value: min(max(share, 0), 1), since: now}
	}
}

// faultsOf returns the share of a node's calls that fail, by what was seen here and
// what the node reported, whichever is higher.
func (b *Balancer) faultsOf(now time.Time, s *state) float64 {
	return max(s.faults.At(now, FaultHalfLife), s.reported.At(now, FaultHalfLife))
}

const (
	// reliableMargin is how much more faults than the best node a node may have to
	// get calls that may not be repeated. Below it, one lost answer among some
	// thirty can't be told from chance.
	reliableMargin = 0.03
	// reliableLoad is the load from which on a node has no room for the calls that
	// others are spared.
	reliableLoad = fullLoad
)

// reliable returns the candidates with the fewest faults that have room, all of them
// when none has.
func (b *Balancer) reliable(now time.Time, candidates []*state) []*state {
	fewest := 1.0
	for _, candidate := range candidates {
		if b.hasRoom(now, candidate) {
			fewest = min(fewest, b.faultsOf(now, candidate))
		}
	}
	chosen := make([]*state, 0, len(candidates))
	for _, candidate := range candidates {
		if b.hasRoom(now, candidate) && b.faultsOf(now, candidate) <= fewest+reliableMargin {
			chosen = append(chosen, candidate)
		}
	}
	if len(chosen) == 0 {
		return candidates
	}
	return chosen
}

func (b *Balancer) hasRoom(now time.Time, s *state) bool {
	return s.load.At(now, loadHalfLife) < reliableLoad
}
