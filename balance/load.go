package balance

import "time"

const (
	// loadSmoothing is the weight of one answer in the smoothed load of a node.
	loadSmoothing = 0.15
	// mostLoad bounds what one answer counts, so that one long queue is forgotten
	// soon. Above the load at which a node is full.
	mostLoad = 1.5
)

// SetLoad records the load that a node showed: the requests that it works on or has
// waiting as a share of those that it works on at a time. It is forgotten with time, so
// that a node that was full is tried again.
func (b *Balancer) SetLoad(now time.Time, id string, load float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s, exists := b.states[id]
	if !exists {
		return
	}
	weight := loadSmoothing
	if !s.loadKnown {
		s.loadKnown, weight = true, 1
	}
	s.load.learn(now, loadHalfLife, weight, min(load, mostLoad))
}
