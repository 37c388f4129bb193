// Package balance picks the node that a call goes to.
//
// It believes only what it sees on the traffic path: the calls that this
// process has in flight to a node, how long they took, how they failed, and
// the admission level that came back with answers. Health and load endpoints
// are not asked, since they lag and mislead.
//
// A few random candidates and one of the own zone are compared and the cheapest is
// taken (after "the power of two choices"). While sound nodes of the own zone have
// room, by the load that their answers show, only they are compared. The cost of a
// node is its smoothed latency times its calls in flight, raised for another zone or
// region, for a node that has just started, and for one that would refuse the call's
// priority. A node that fails
// several times in a row is ejected for a while and then gets one trial call
// at a time.
//
// Balancer is safe for concurrent use and takes the time as an argument.
package balance

import (
	"sync"
	"time"
)

// Balancer picks among the nodes of one service.
type Balancer struct {
	mutex  sync.Mutex
	config Config
	states map[string]*state
	list   []*state
	fast   float64   // latency of a fast node, seconds
	fastAt time.Time // when it was looked for
}

// state is what is known of one node.
type state struct {
	target       Target
	inFlight     int
	latency      float64   // smoothed, seconds
	learnedAt    time.Time // when latency last changed
	failures     int       // in a row
	faults       Share     // of calls that failed
	told         Share     // of requests that the back end failed, by its node
	refusals     Share     // of calls that were refused
	ejections    int       // in a row
	ejectedUntil time.Time
	onTrial      bool
	load         nodeLoad
	levels       map[string]levelEntry // by call path
}

// levelEntry is the admission level that a node last showed for a call path.
type levelEntry struct {
	level int
	at    time.Time
}

// New returns a Balancer without nodes.
func New(config Config) *Balancer {
	config.setDefaults()
	return &Balancer{config: config, states: map[string]*state{}}
}

// Update replaces the list of nodes and keeps what is known of those that stay.
func (b *Balancer) Update(now time.Time, targets []Target) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	states := make(map[string]*state, len(targets))
	b.list = b.list[:0]
	for _, target := range targets {
		known, exists := b.states[target.ID]
		if !exists {
			known = &state{}
			target.Since = now
		} else {
			target.Since = known.target.Since
		}
		known.target = target
		states[target.ID] = known
		b.list = append(b.list, known)
	}
	b.states = states
}

// Size returns the number of nodes.
func (b *Balancer) Size() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.list)
}

// Need is what a call asks of the node that it goes to.
type Need struct {
	// Path is the call path, whose admission levels count.
	Path string
	// Priority is that of the user request.
	Priority int
	// Exclude lists the nodes that were tried before.
	Exclude []string
	// Once says that the call may not be repeated, so that a lost answer is lost
	// for good. It goes to nodes whose back end has answered well lately.
	Once bool
}

// Pick returns a node for a call and counts the call as in flight to it. It reports
// false when there is none. Each Pick must be followed by one Done.
func (b *Balancer) Pick(now time.Time, need Need) (Target, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	candidates := b.candidates(now, need)
	if len(candidates) == 0 {
		return Target{}, false
	}
	if need.Once {
		candidates = b.reliable(now, candidates)
	}
	chosen := b.cheapest(now, b.staying(now, candidates))
	chosen.inFlight++
	if chosen.ejections > 0 {
		chosen.onTrial = true
	}
	return chosen.target, true
}

// sampleSize is the number of random candidates that are compared. Two would leave
// the best of three nodes a third of the calls that should go to it; many would
// send the calls of all processes to the same node at once.
const sampleSize = 3

// cheapest returns the candidate of the lowest cost among a few random ones and one
// of the own zone.
func (b *Balancer) cheapest(now time.Time, candidates []*state) *state {
	count := min(sampleSize, len(candidates))
	for i := range count {
		other := i + b.config.Random(len(candidates)-i)
		candidates[i], candidates[other] = candidates[other], candidates[i]
	}
	best, lowest := candidates[0], b.cost(now, candidates[0])
	consider := func(candidate *state) {
		if cost := b.cost(now, candidate); cost < lowest {
			best, lowest = candidate, cost
		}
	}
	for _, candidate := range candidates[1:count] {
		consider(candidate)
	}
	if near := b.near(candidates[count:]); near != nil {
		consider(near)
	}
	return best
}

// inOwnZone reports whether a node is in the zone of this process. Zones of different
// regions may have the same name.
func (b *Balancer) inOwnZone(target Target) bool {
	return target.Zone == b.config.Zone && target.Region == b.config.Region
}

// near returns a random candidate of the own zone, nil when there is none.
func (b *Balancer) near(candidates []*state) *state {
	own := b.ownZone(candidates)
	if len(own) == 0 {
		return nil
	}
	return own[b.config.Random(len(own))]
}

// candidates returns the best group of nodes that is not empty: those that
// would admit the priority, then those that are well, then those that stay, then
// all.
func (b *Balancer) candidates(now time.Time, need Need) []*state {
	var admitting, well, staying, all []*state
	for _, candidate := range b.list {
		if excluded(candidate.target.ID, need.Exclude) {
			continue
		}
		all = append(all, candidate)
		if candidate.target.Leaving {
			continue
		}
		staying = append(staying, candidate)
		if candidate.target.Suspect || candidate.ejected(now) {
			continue
		}
		well = append(well, candidate)
		if b.levelOf(now, candidate, need.Path) <= need.Priority {
			admitting = append(admitting, candidate)
		}
	}
	for _, group := range [][]*state{admitting, well, staying} {
		if len(group) > 0 {
			return group
		}
	}
	return all
}

func excluded(id string, exclude []string) bool {
	for _, other := range exclude {
		if other == id {
			return true
		}
	}
	return false
}

// ejected reports whether the node takes no calls now. After its time, it takes
// one trial call at a time.
func (s *state) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || (s.ejections > 0 && s.onTrial)
}
