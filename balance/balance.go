// Package balance picks the node that a call goes to.
//
// It owns what this process knows of the nodes of a service: calls in flight, latency,
// failures, refusals, load and admission levels. All of it comes from the traffic path:
// from the calls that this process makes and from what nodes report with answers. Health
// and load endpoints are not asked, since they lag and mislead. Which nodes there are
// comes from membership, by Update.
//
// Pick takes the rules in this order:
//
//  1. the best group that is not empty of those that would admit the call's priority,
//     those that are well, those that do not leave, and all (candidates);
//  2. for a call that may not be repeated, the nodes with the fewest faults (reliable);
//  3. sound nodes of the own zone, while they have room (zoneCandidates);
//  4. of a few random ones and one of the own zone, the one of the lowest cost (cheapest,
//     cost), after "the power of two choices".
//
// A node that fails several times in a row is ejected for a while and then gets one trial
// call at a time.
//
// Balancer is safe for concurrent use and takes the time as an argument.
package balance

import (
	"slices"
	"sync"
	"time"
)

// Balancer picks among the nodes of one service.
type Balancer struct {
	mutex  sync.Mutex
	config Config
	states map[string]*state
	list   []*state
	fast   float64   // latency of a fast node, seconds (fastLatency)
	fastAt time.Time // when it was looked for
}

// state is what is known of one node.
type state struct {
	target       Target
	inFlight     int
	latency      float64       // smoothed, seconds
	learnedAt    time.Time     // when latency last changed
	failures     int           // in a row
	faults       DecayingShare // of calls that failed
	reported     DecayingShare // of requests that the back end failed, as its node reports
	refusals     DecayingShare // of calls that were refused
	ejections    int           // in a row
	ejectedUntil time.Time
	onTrial      bool
	load         DecayingShare // of its slots that are taken, above 1 with those that wait
	loadKnown    bool
	levels       map[string]shownLevel // by call path
}

// shownLevel is the admission level that a node last showed for a call path.
type shownLevel struct {
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
	chosen := b.cheapest(now, b.zoneCandidates(now, candidates))
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
	if own := b.anyOfOwnZone(candidates[count:]); own != nil {
		consider(own)
	}
	return best
}

// inOwnZone reports whether a node is in the zone of this process. Zones of different
// regions may have the same name.
func (b *Balancer) inOwnZone(target Target) bool {
	return target.Zone == b.config.Zone && target.Region == b.config.Region
}

// anyOfOwnZone returns a random candidate of the own zone, nil when there is none.
func (b *Balancer) anyOfOwnZone(candidates []*state) *state {
	own := make([]*state, 0, len(candidates))
	for _, candidate := range candidates {
		if b.inOwnZone(candidate.target) {
			own = append(own, candidate)
		}
	}
	if len(own) == 0 {
		return nil
	}
	return own[b.config.Random(len(own))]
}

// candidates returns the best group of nodes that is not empty: those that
// would admit the priority, then those that are well, then those that do not leave, then
// all.
func (b *Balancer) candidates(now time.Time, need Need) []*state {
	var admitting, well, remaining, all []*state
	for _, candidate := range b.list {
		if slices.Contains(need.Exclude, candidate.target.ID) {
			continue
		}
		all = append(all, candidate)
		if candidate.target.Leaving {
			continue
		}
		remaining = append(remaining, candidate)
		if candidate.target.Suspect || candidate.ejected(now) {
			continue
		}
		well = append(well, candidate)
		if b.levelOf(now, candidate, need.Path) <= need.Priority {
			admitting = append(admitting, candidate)
		}
	}
	for _, group := range [][]*state{admitting, well, remaining} {
		if len(group) > 0 {
			return group
		}
	}
	return all
}

// ejected reports whether the node takes no calls now. After its time, it takes
// one trial call at a time.
func (s *state) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || (s.ejections > 0 && s.onTrial)
}
