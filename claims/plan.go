package claims

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a process that may hold claims.
type Candidate struct {
	Process
	Region  string
	Zone    string
	Alive   bool // answers, though it may be leaving
	Leaving bool
	Gone    bool // confirmed to have ended, not only unreachable
}

// Plan is a change of the Groups document.
type Plan struct {
	Next *Groups
	// Changed is the number of groups that the plan changes.
	Changed int
	// Lost is the number of groups that have no majority left and cannot be
	// started anew yet, because it is not confirmed that their replicas ended.
	Lost int
}

// Planner decides which processes form the groups.
type Planner struct {
	// Groups is the number of groups of a new mesh.
	Groups int
	// Replicas is the number of replicas of each group.
	Replicas int
	// Voting reports whether a majority of a group votes at its epoch. A group
	// is changed only then, since the claims are collected from it. May be nil.
	Voting func(group int) bool
}

// Plan returns the groups that suit the candidates. current may be nil.
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
		next, changed, lost := p.planGroup(i, group, known, candidates)
		plan.Next.Groups = append(plan.Next.Groups, next)
		if changed {
			plan.Changed++
		}
		if lost {
			plan.Lost++
		}
	}
	return plan
}

// planGroup returns the next epoch of one group, or the same group.
func (p Planner) planGroup(index int, group Group, known map[string]Candidate, candidates []Candidate) (next Group, changed, lost bool) {
	wanted := p.choose(index, group, known, candidates)
	if len(wanted) == 0 || sameProcesses(wanted, group.Replicas) {
		return group, false, false
	}
	if group.Epoch == 0 {
		return Group{Epoch: 1, Replicas: wanted}, true, false
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
		return Group{Epoch: group.Epoch + 1, Replicas: wanted, Previous: group.Replicas}, true, false
	case group.HasMajority(gone):
		return Group{Epoch: group.Epoch + 1, Replicas: wanted, Reset: true}, true, false
	default:
		return group, false, true
	}
}

// choose returns the replicas that a group should have: those it has that are
// well, then others, in zones that are not taken yet first.
func (p Planner) choose(index int, group Group, known map[string]Candidate, candidates []Candidate) []Process {
	chosen := []Candidate{}
	for _, replica := range group.Replicas {
		if candidate, exists := known[replica.ID]; exists && candidate.Alive && !candidate.Leaving {
			chosen = append(chosen, candidate)
		}
	}
	pool := []Candidate{}
	for _, candidate := range candidates {
		if candidate.Alive && !candidate.Leaving && !has(group.Replicas, candidate.ID) {
			pool = append(pool, candidate)
		}
	}
	sort.Slice(pool, func(i, j int) bool { return Rank(index, pool[i].ID) > Rank(index, pool[j].ID) })
	for len(chosen) < p.Replicas && len(pool) > 0 {
		pick := spreadPick(chosen, pool)
		chosen = append(chosen, pool[pick])
		pool = append(pool[:pick], pool[pick+1:]...)
	}
	processes := make([]Process, 0, len(chosen))
	for _, candidate := range chosen {
		processes = append(processes, candidate.Process)
	}
	return processes
}

// spreadPick returns the first of pool in the zone, then region, with the
// fewest chosen.
func spreadPick(chosen, pool []Candidate) int {
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

// Rank orders processes for a group (rendezvous hashing).
func Rank(index int, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(index) + " " + id)
}

func sameProcesses(a, b []Process) bool {
	if len(a) != len(b) {
		return false
	}
	for _, process := range a {
		if !has(b, process.ID) {
			return false
		}
	}
	return true
}
