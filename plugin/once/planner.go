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

// Planning of the claim groups. One process, chosen by hash, plans; if two consider
// themselves the planner, compare-and-swap in the store lets only one of them succeed.
const (
	// planInterval is the time between two plans in the planner.
	planInterval = 250 * time.Millisecond
	// idlePlanWait is the time after which another process checks whether it has become the
	// planner.
	idlePlanWait = time.Second
	// planFailedWait is the time until the next plan after an error.
	planFailedWait = 2 * time.Second
	// settleTime is the time after the start during which members are discovered before this
	// process plans.
	settleTime = time.Second
	// planLeaseName is the name of the planner's lease in the store.
	planLeaseName = "loomcleat/claim-planner"
	// planLeaseTime is the lifetime of a lease that is not released; Consul accepts no
	// shorter one.
	planLeaseTime = 10 * time.Second
)

// planGroups adapts the claim groups to the members of the mesh while this process is the
// planner. It runs until ctx is done.
func (o *once) planGroups(ctx context.Context) {
	kernel.Pause(ctx, settleTime)
	lostBefore := 0
	for ctx.Err() == nil {
		wait := idlePlanWait
		members := *o.process.Members.Load()
		if !o.process.Leaving() && spread.Watches(o.self.ID, kernel.LiveIDs(members), 1) {
			wait = planInterval
			lostNow, err := o.planOnce(ctx, members)
			if err != nil && ctx.Err() == nil {
				o.process.Log.Emit(event.ClaimGroupPlanFailed, "error", err)
				wait = planFailedWait
			}
			if lostNow > lostBefore {
				o.process.Log.Emit(event.ClaimMajorityLost, "groups", lostNow)
			}
			lostBefore = lostNow
		}
		kernel.Pause(ctx, wait)
	}
}

// planOnce writes a new groups document if the known one does not fit the members. It
// returns the number of groups that have lost their majority.
func (o *once) planOnce(ctx context.Context, members []membership.Member) (lost int, err error) {
	candidates := o.candidates(members)
	plan := o.planner().Plan(o.groups.Load(), candidates)
	if plan.Changed == 0 {
		return plan.WithoutMajority, nil
	}
	lease, acquired, err := o.process.Store.AcquireLease(ctx, planLeaseName, o.self.ID, planLeaseTime)
	if err != nil || !acquired {
		return plan.WithoutMajority, err
	}
	// A lease that can't be released expires after planLeaseTime.
	defer func() { _ = lease.Release(context.WithoutCancel(ctx)) }()
	return o.writePlan(ctx, candidates)
}

// planner returns a Planner with the configured numbers of groups and replicas.
func (o *once) planner() claims.Planner {
	return claims.Planner{Groups: o.process.Settings.ClaimGroups, Replicas: o.process.Settings.ClaimReplicas}
}

// writePlan reads the groups document from the store, plans the next one from it and writes
// that. It returns the number of groups that have lost their majority.
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
		counts := o.countVoters(ctx, current)
		planner.Voting = func(group int) bool { return current.Groups[group].HasMajority(counts[group]) }
	}
	plan := planner.Plan(current, candidates)
	if plan.Changed == 0 {
		return plan.WithoutMajority, o.offerStored(ctx, entry)
	}
	data, err := plan.Next.Encode()
	if err != nil {
		return plan.WithoutMajority, err
	}
	wrote, err := o.process.Store.CompareAndSwap(ctx, claims.StoreKey, data, entry.Index)
	if err != nil || !wrote {
		return plan.WithoutMajority, err // The next plan reads the store again.
	}
	o.process.Log.Emit(event.ClaimGroupPlanned, "revision", plan.Next.Revision, "changed", plan.Changed)
	return plan.WithoutMajority, o.process.Documents.Offer(ctx, wire.DocumentGroups, data)
}

// offerStored offers the document in the store to this process, which may have an older one.
func (o *once) offerStored(ctx context.Context, entry store.Entry) error {
	if !entry.Exists {
		return nil
	}
	return o.process.Documents.Offer(ctx, wire.DocumentGroups, entry.Value)
}

// maximumMachineListAge is the maximum age at which a reading of the machine list may
// confirm that a process is gone.
const maximumMachineListAge = 10 * time.Second

// candidates returns the members as candidates for the planner. A dead member whose vote a
// live member has taken over counts as alive but leaving.
func (o *once) candidates(members []membership.Member) []claims.Candidate {
	listed := o.listedMachines()
	live := map[string]bool{}
	for _, member := range members {
		if member.Status != membership.Dead {
			live[member.Control] = true
		}
	}
	represented := map[string]bool{} // Ids of replicas whose votes live members have taken over.
	for _, member := range members {
		for _, vote := range member.Votes {
			if _, replica, found := parseVoteName(vote); found && member.Status != membership.Dead {
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

// listedMachines returns the control addresses on the machine list, nil if the last reading
// is missing or older than maximumMachineListAge.
func (o *once) listedMachines() map[string]bool {
	state := o.process.MachineState.Load()
	if state == nil || clock.Now().Sub(state.At) > maximumMachineListAge {
		return nil
	}
	listed := map[string]bool{}
	for _, machine := range state.Machines {
		listed[machine.Control] = true
	}
	return listed
}
