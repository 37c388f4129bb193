package once

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// Planning of the claim groups. One process plans; when two believe that it is
// their turn, compare-and-swap in the store lets one of them succeed.
const (
	planInterval   = 250 * time.Millisecond // while this process is the planner
	idlePlanWait   = time.Second            // otherwise
	planFailedWait = 2 * time.Second
	settleTime     = time.Second // after the start, before groups are first formed
	planLeaseName  = "loomcleat/claim-planner"
	planLeaseTime  = 10 * time.Second // Consul's shortest
)

// planGroups keeps the claim groups in shape while this process is the planner.
func (o *once) planGroups(ctx context.Context) {
	kernel.Pause(ctx, settleTime)
	lost := 0
	for ctx.Err() == nil {
		wait := idlePlanWait
		members := *o.process.Members.Load()
		if !o.process.Leaving() && spread.Watches(o.self.ID, kernel.LiveIDs(members), 1) {
			wait = planInterval
			found, err := o.planOnce(ctx, members)
			if err != nil && ctx.Err() == nil {
				o.process.Log.Emit(event.ClaimGroupPlanFailed, "error", err)
				wait = planFailedWait
			}
			if found > lost {
				o.process.Log.Emit(event.ClaimMajorityLost, "groups", found)
			}
			lost = found
		}
		kernel.Pause(ctx, wait)
	}
}

// planOnce writes new groups when those known do not suit the mesh. It returns
// the number of groups that have lost their majority.
func (o *once) planOnce(ctx context.Context, members []membership.Member) (lost int, err error) {
	candidates := o.candidates(members)
	plan := o.planner().Plan(o.groups.Load(), candidates)
	if plan.Changed == 0 {
		return plan.Lost, nil
	}
	lease, acquired, err := o.process.Store.AcquireLease(ctx, planLeaseName, o.self.ID, planLeaseTime)
	if err != nil || !acquired {
		return plan.Lost, err
	}
	// A lease that can't be released runs out by itself after planLeaseTime.
	defer func() { _ = lease.Release(context.WithoutCancel(ctx)) }()
	return o.writePlan(ctx, candidates)
}

// planner returns the Planner of this mesh.
func (o *once) planner() claims.Planner {
	return claims.Planner{Groups: o.process.Settings.ClaimGroups, Replicas: o.process.Settings.ClaimReplicas}
}

// writePlan reads the groups from the store, plans on them and writes them.
func (o *once) writePlan(ctx context.Context, candidates []claims.Candidate) (lost int, err error) {
	entry, err := o.process.Store.Get(ctx, claims.StoreKey)
	if err != nil {
		return 0, err
	}
	var current *claims.Groups
	planner := o.planner()
	if entry.Exists {
		if current, err = claims.DecodeGroups(entry.Value); err != nil {
			return 0, err
		}
		counts := o.voting(ctx, current)
		planner.Voting = func(group int) bool { return current.Groups[group].HasMajority(counts[group]) }
	}
	plan := planner.Plan(current, candidates)
	if plan.Changed == 0 {
		return plan.Lost, o.offerStored(ctx, entry)
	}
	data, err := plan.Next.Encode()
	if err != nil {
		return plan.Lost, err
	}
	wrote, err := o.process.Store.CompareAndSwap(ctx, claims.StoreKey, data, entry.Index)
	if err != nil || !wrote {
		return plan.Lost, err // the next round reads what became of it
	}
	o.process.Log.Emit(event.ClaimGroupPlanned, "revision", plan.Next.Revision, "changed", plan.Changed)
	return plan.Lost, o.process.Documents.Offer(ctx, wire.DocumentGroups, data)
}

// offerStored takes what the store has, in case this process is behind.
func (o *once) offerStored(ctx context.Context, entry store.Entry) error {
	if !entry.Exists {
		return nil
	}
	return o.process.Documents.Offer(ctx, wire.DocumentGroups, entry.Value)
}

// machineStateAge is how old a reading of the machine list may be to confirm
// that a process has ended.
const machineStateAge = 10 * time.Second

// candidates describes the mesh for the planner.
func (o *once) candidates(members []membership.Member) []claims.Candidate {
	listed := o.listedMachines()
	live := map[string]bool{}
	for _, member := range members {
		if member.Status != membership.Dead {
			live[member.Control] = true
		}
	}
	represented := map[string]bool{} // replicas whose votes live members have taken
	for _, member := range members {
		for _, vote := range member.Votes {
			if _, replica, found := cutVoteName(vote); found && member.Status != membership.Dead {
				represented[replica] = true
			}
		}
	}
	candidates := make([]claims.Candidate, 0, len(members))
	for _, member := range members {
		alive := member.Status != membership.Dead
		replaced := !alive && live[member.Control]
		unlisted := !alive && listed != nil && !listed[member.Control]
		candidates = append(candidates, claims.Candidate{
			Process: claims.Process{ID: member.ID, Control: member.Control},
			Region:  member.Region,
			Zone:    member.Zone,
			Alive:   alive || represented[member.ID],
			Leaving: member.Leaving || !alive,
			Gone:    (replaced || unlisted) && !represented[member.ID],
		})
	}
	return candidates
}

// listedMachines returns the control addresses on the machine list, nil when no
// recent reading is at hand.
func (o *once) listedMachines() map[string]bool {
	state := o.process.MachineState.Load()
	if state == nil || clock.Now().Sub(state.At) > machineStateAge {
		return nil
	}
	listed := map[string]bool{}
	for _, machine := range state.Machines {
		listed[machine.Control] = true
	}
	return listed
}
