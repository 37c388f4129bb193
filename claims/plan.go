package claims

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a process that can be a replica.
type Candidate struct {
	Process
	Region string
	Zone   string
	// Alive reports that the process responds. It may be leaving.
	Alive   bool
	Leaving bool
	// Gone reports that the process is confirmed to have stopped, not merely
	// unreachable.
	Gone bool
}

// Plan is a change of the Groups document.
type Plan struct {
	Next *Groups
	// Changed is the number of groups that the plan changes.
	Changed int
	// WithoutMajority is the number of groups that have no majority left and cannot be
	// reset yet, because their replicas are not confirmed to have stopped.
	WithoutMajority int
}

// Planner assigns processes to groups.
type Planner struct {
	// Groups is the number of groups in a new mesh.
	Groups int
	// Replicas is the number of replicas of each group.
	Replicas int
	// Voting reports whether a majority of a group votes at its epoch. A group
	// changes only then, since the next epoch collects its claims from that
	// majority. If nil, every group is taken to be voting.
	Voting func(group int) bool
}

// Plan returns the groups for the given candidates. current is the document in
// the store; nil or without groups, it is a new mesh.
func (p Planner) Plan(current *Groups, candidates []Candidate) Plan {
	known := map[string]Candidate{}
	for _, candidate := range candidates {
		known[candidate.ID] = candidate
	}
	if current == nil || len(current.Groups) == 0 {
		current = &Groups{Groups: make([]Group, p.Groups)}
	}
	plan := Plan{Next: &Groups{Revision: current.Revision + 1}}
	for i, group := range current.Groups {
		next, changed, withoutMajority := p.planGroup(i, group, known, candidates)
		plan.Next.Groups = append(plan.Next.Groups, next)
		if changed {
			plan.Changed++
		}
		if withoutMajority {
			plan.WithoutMajority++
		}
	}
	return plan
}

// planGroup returns one group at its next epoch, or unchanged. withoutMajority reports that
// it has no majority and cannot be reset yet.
func (p Planner) planGroup(index int, group Group, known map[string]Candidate, candidates []Candidate) (next Group, changed, withoutMajority bool) {
	chosen := p.choose(index, group, known, candidates)
	if len(chosen) == 0 || sameProcesses(chosen, group.Replicas) {
		return group, false, false
	}
	if group.Epoch == 0 {
		return Group{Epoch: 1, Replicas: chosen}, true, false
	}
	alive, gone := 0, 0
	for _, replica := range group.Replicas {
		switch candidate := known[replica.ID]; {
		case candidate.Alive:
			alive++
		case candidate.Gone:
			gone++
		}
	}
	switch {
	case group.HasMajority(alive):
		if p.Voting != nil && !p.Voting(index) {
			return group, false, false
		}
		return Group{Epoch: group.Epoch + 1, Replicas: chosen, Previous: group.Replicas}, true, false
	case group.HasMajority(gone):
		return Group{Epoch: group.Epoch + 1, Replicas: chosen, Reset: true}, true, false
	default:
		return group, false, true
	}
}

// choose returns the replicas that a group should have: the current ones that
// are alive and not leaving, then others, preferably in zones without a replica.
func (p Planner) choose(index int, group Group, known map[string]Candidate, candidates []Candidate) []Process {
	chosen := []Candidate{}
	for _, replica := range group.Replicas {
		if candidate, exists := known[replica.ID]; exists && candidate.Alive && !candidate.Leaving {
			chosen = append(chosen, candidate)
		}
	}
	pool := []Candidate{}
	for _, candidate := range candidates {
		if candidate.Alive && !candidate.Leaving && !containsProcess(group.Replicas, candidate.ID) {
			pool = append(pool, candidate)
		}
	}
	sort.Slice(pool, func(i, j int) bool { return Rank(index, pool[i].ID) > Rank(index, pool[j].ID) })
	for len(chosen) < p.Replicas && len(pool) > 0 {
		pick := pickForSpread(chosen, pool)
		chosen = append(chosen, pool[pick])
		pool = append(pool[:pick], pool[pick+1:]...)
	}
	processes := make([]Process, 0, len(chosen))
	for _, candidate := range chosen {
		processes = append(processes, candidate.Process)
	}
	return processes
}

// pickForSpread returns the index of the first candidate in pool whose zone, then
// region, has the fewest chosen candidates.
func pickForSpread(chosen, pool []Candidate) int {
	best, bestCost := 0, -1
	for i, candidate := range pool {
		cost := 0
		for _, other := range chosen {
			if other.Region == candidate.Region {
				cost++
				if other.Zone == candidate.Zone {
					cost += len(chosen) + 1
				}
			}
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Rank returns the weight of a process for a group in rendezvous hashing. Higher
// is preferred.
func Rank(index int, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(index) + " " + id)
}

func sameProcesses(a, b []Process) bool {
	if len(a) != len(b) {
		return false
	}
	for _, process := range a {
		if !containsProcess(b, process.ID) {
			return false
		}
	}
	return true
}
