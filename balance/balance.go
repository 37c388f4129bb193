// Package balance selects the node that a call goes to.
//
// It owns what this process knows about the nodes of a service: calls in flight, latency,
// failures, refusals, load and admission levels. All of it comes from the traffic path,
// that is from the calls that this process makes and from what nodes report with their
// answers. Health and load endpoints are not polled, since they lag and mislead. The set
// of nodes comes from membership through Update.
//
// Pick narrows the nodes down in this order:
//
//  1. the first of these groups that is not empty: nodes that admit the call's priority and
//     whose rate limit has room for this process, nodes that admit the priority, available
//     nodes, nodes that are not leaving, all nodes (candidates);
//  2. for a call that must not be repeated, the nodes with the lowest share of failed
//     calls (reliable);
//  3. the healthy nodes of the local zone, the zone of this process, while they have room
//     (zoneCandidates);
//  4. of a few random nodes and one of the local zone, the one of the lowest cost
//     (cheapest, cost), a variant of "the power of two choices".
//
// A node that fails several calls in a row is ejected for a while and then gets one trial
// call at a time.
//
// Balancer is safe for concurrent use and takes the time as an argument.
package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// Balancer selects among the nodes of one service.
type Balancer struct {
	mutex  sync.Mutex
	config Config
	// States by node ID.
	states map[string]*nodeState
	// The same states in the order of the last Update.
	list []*nodeState
	// Result of fastLatency in seconds, and when it was computed.
	cachedFastLatency float64
	fastLatencyAt     time.Time
}

// nodeState is what is known about one node.
type nodeState struct {
	target   Target
	inFlight int
	// Smoothed latency in seconds, 0 while unknown, and when it was last updated.
	latency   float64
	latencyAt time.Time
	// Consecutive failed calls.
	failures int
	// Share of this process's calls that failed.
	faults DecayingShare
	// Share of requests that the back end failed, as reported by its node.
	reportedFaults DecayingShare
	// Share of this process's calls that were refused.
	refusals DecayingShare
	// Consecutive ejections.
	ejections    int
	ejectedUntil time.Time
	// A trial call is in flight.
	onTrial bool
	// Share of the slots that are taken. Queued requests count too, so that it may
	// exceed 1.
	load      DecayingShare
	loadKnown bool
	// Admission levels by call path.
	levels map[string]reportedLevel
	// Part of the node's rate limit that this process uses.
	rateShare ratelimit.Share
}

// reportedLevel is the admission level that a node last reported for a call path.
type reportedLevel struct {
	level int
	at    time.Time
}

// New returns a Balancer without nodes.
func New(config Config) *Balancer {
	config.setDefaults()
	return &Balancer{config: config, states: map[string]*nodeState{}}
}

// Update replaces the list of nodes. Nodes that were in the previous list keep their state.
func (b *Balancer) Update(now time.Time, targets []Target) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	states := make(map[string]*nodeState, len(targets))
	b.list = b.list[:0]
	for _, target := range targets {
		known, exists := b.states[target.ID]
		if !exists {
			known = &nodeState{}
			target.Since = now
		} else {
			target.Since = known.target.Since
		}
		known.target = target
		b.updateRateShare(now, known)
		states[target.ID] = known
		b.list = append(b.list, known)
	}
	b.states = states
}

// updateRateShare sets this process's part of a node's rate limit.
func (b *Balancer) updateRateShare(now time.Time, s *nodeState) {
	if s.target.RateLimit == nil {
		s.rateShare = ratelimit.Share{}
		return
	}
	random := float64(b.config.Random(randomParts)) / randomParts
	s.rateShare.Set(now, *s.target.RateLimit, s.target.Callers, random)
}

// Size returns the number of nodes.
func (b *Balancer) Size() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.list)
}

// Requirements describes a call that needs a node.
type Requirements struct {
	// Path is the call path whose admission levels apply.
	Path string
	// Priority of the user request.
	Priority int
	// Exclude lists the IDs of nodes that must not be selected, because the call was
	// already sent to them.
	Exclude []string
	// NotRepeatable reports that the call must not be repeated, so that a lost answer can't be
	// recovered. Such a call goes to the nodes with the lowest share of failed calls.
	NotRepeatable bool
}

// Pick selects a node for a call and counts the call as in flight there. It returns false
// if there is no node. Each successful Pick must be followed by one Done.
func (b *Balancer) Pick(now time.Time, requirements Requirements) (Target, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	candidates := b.candidates(now, requirements)
	if len(candidates) == 0 {
		return Target{}, false
	}
	if requirements.NotRepeatable {
		candidates = b.reliable(now, candidates)
	}
	chosen := b.cheapest(now, b.zoneCandidates(now, candidates))
	chosen.inFlight++
	if chosen.target.RateLimit != nil {
		chosen.rateShare.Use(now)
	}
	if chosen.ejections > 0 {
		chosen.onTrial = true
	}
	return chosen.target, true
}

// sampleSize is the number of random candidates that are compared. With two, the best of
// three nodes would miss a third of the calls; with many, all processes would send their
// calls to the same node at once.
const sampleSize = 3

// cheapest returns the candidate of the lowest cost among a few random ones and one of
// the local zone.
func (b *Balancer) cheapest(now time.Time, candidates []*nodeState) *nodeState {
	count := min(sampleSize, len(candidates))
	for i := range count {
		other := i + b.config.Random(len(candidates)-i)
		candidates[i], candidates[other] = candidates[other], candidates[i]
	}
	best, lowest := candidates[0], b.cost(now, candidates[0])
	consider := func(candidate *nodeState) {
		if cost := b.cost(now, candidate); cost < lowest {
			best, lowest = candidate, cost
		}
	}
	for _, candidate := range candidates[1:count] {
		consider(candidate)
	}
	if local := b.randomInLocalZone(candidates[count:]); local != nil {
		consider(local)
	}
	return best
}

// inLocalZone reports whether a node is in the zone of this process. The region is
// compared too, since zones of different regions may have the same name.
func (b *Balancer) inLocalZone(target Target) bool {
	return target.Zone == b.config.Zone && target.Region == b.config.Region
}

// randomInLocalZone returns a random candidate of the local zone, nil if there is none.
func (b *Balancer) randomInLocalZone(candidates []*nodeState) *nodeState {
	local := make([]*nodeState, 0, len(candidates))
	for _, candidate := range candidates {
		if b.inLocalZone(candidate.target) {
			local = append(local, candidate)
		}
	}
	if len(local) == 0 {
		return nil
	}
	return local[b.config.Random(len(local))]
}

// candidates returns the first of these groups that is not empty: nodes that admit the
// priority and whose rate limit has room for this process, nodes that admit the priority,
// available nodes (neither leaving, suspect nor ejected), nodes that are not leaving, all nodes.
func (b *Balancer) candidates(now time.Time, requirements Requirements) []*nodeState {
	var withinRate, admitting, available, staying, all []*nodeState
	for _, candidate := range b.list {
		if slices.Contains(requirements.Exclude, candidate.target.ID) {
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
		available = append(available, candidate)
		if b.levelOf(now, candidate, requirements.Path) <= requirements.Priority {
			admitting = append(admitting, candidate)
			if candidate.target.RateLimit == nil || candidate.rateShare.Open(now) {
				withinRate = append(withinRate, candidate)
			}
		}
	}
	for _, group := range [][]*nodeState{withinRate, admitting, available, staying} {
		if len(group) > 0 {
			return group
		}
	}
	return all
}

// ejected reports whether the node takes no calls now. After the time of its ejection, it
// takes one trial call at a time.
func (s *nodeState) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || (s.ejections > 0 && s.onTrial)
}
