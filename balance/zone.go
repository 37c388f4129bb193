package balance

// zoneLoad is the load that the nodes of the own zone have shown lately.
//
// With many nodes, a process sees each of them now and then only, but those of its
// zone together often. While they have room, calls stay in the zone: bytes between
// zones cost, and zones lose each other.
type zoneLoad struct {
	known  bool
	smooth float64 // share of the places that are taken
}

const (
	// leastNear is the number of nodes of the own zone from which on calls may stay
	// with them alone. Fewer leave no choice when one of them is slow.
	leastNear = 3
	// Calls stay in the zone while its load is below stayBelow. From there on, the
	// share that stays falls until it ends at leaveAbove.
	stayBelow  = 0.6
	leaveAbove = 0.85
	// loadSmoothing is the weight of one answer in the smoothed load.
	loadSmoothing = 0.15
	// mostLoad bounds what one answer counts, so that one long queue is forgotten
	// soon.
	mostLoad = 1.5
)

// SetLoad records the load that a node showed: the requests that it works on or has
// waiting as a share of those that it works on at a time.
func (b *Balancer) SetLoad(id string, load float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s, exists := b.states[id]
	if !exists || !b.inOwnZone(s.target) {
		return
	}
	load = min(load, mostLoad)
	if !b.zone.known {
		b.zone = zoneLoad{known: true, smooth: load}
		return
	}
	b.zone.smooth += loadSmoothing * (load - b.zone.smooth)
}

// stayShare is the share of calls that stay in the zone, 0 to 1.
func (z zoneLoad) stayShare() float64 {
	if !z.known {
		return 0
	}
	return min(max((leaveAbove-z.smooth)/(leaveAbove-stayBelow), 0), 1)
}

// randomParts is the resolution of a random share.
const randomParts = 1000

// staying returns the candidates of the own zone when a call is to stay there, all
// candidates otherwise.
func (b *Balancer) staying(candidates []*state) []*state {
	share := b.zone.stayShare()
	if share == 0 || b.config.Random(randomParts) >= int(share*randomParts) {
		return candidates
	}
	own := b.ownZone(candidates)
	if len(own) < leastNear {
		return candidates
	}
	return own
}

// ownZone returns the candidates of the own zone.
func (b *Balancer) ownZone(candidates []*state) []*state {
	own := make([]*state, 0, len(candidates))
	for _, candidate := range candidates {
		if b.inOwnZone(candidate.target) {
			own = append(own, candidate)
		}
	}
	return own
}
