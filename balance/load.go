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
// waiting as a share of those that it works on at a time.
func (b *Balancer) SetLoad(now time.Time, id string, load float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s, exists := b.states[id]; exists {
		s.load.learn(now, b.config.LoadHalfLife, min(load, mostLoad))
	}
}

// nodeLoad is the load that a node has shown lately.
type nodeLoad struct {
	known  bool
	smooth float64 // share of the slots that are taken
	since  time.Time
}

func (l *nodeLoad) learn(now time.Time, halfLife time.Duration, load float64) {
	if !l.known {
		*l = nodeLoad{known: true, smooth: load, since: now}
		return
	}
	decayed := l.at(now, halfLife)
	l.smooth = decayed + loadSmoothing*(load-decayed)
	l.since = now
}

// at returns the load at a time. It is forgotten, so that a node that was full is
// tried again.
func (l *nodeLoad) at(now time.Time, halfLife time.Duration) float64 {
	return l.smooth * decay(now.Sub(l.since), halfLife)
}
