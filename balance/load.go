package balance

import "time"

const (
	// loadSmoothing is the weight of one report in the smoothed load of a node.
	loadSmoothing = 0.15
	// maximumLoad bounds the load of one report, so that the smoothed load recovers soon
	// after a long queue. It is above the load of a full node.
	maximumLoad = 1.5
)

// SetLoad records the load that a node reported: its requests in flight and queued ones as
// a share of its slots. The load decays with time, so that a node that was full is tried
// again.
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
	s.load.update(now, loadHalfLife, weight, min(load, maximumLoad))
}
