package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/internal/simulation"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/spread"
)

// admissionRunner runs requests at one back end. The outcome of a step is the verdicts that it
// caused, in order.
type admissionRunner struct {
	controller *admission.Controller
	verdicts   []string
	tickets    map[string]*admission.Ticket
}

var verdictNames = map[admission.Verdict]string{
	admission.Admitted: "admitted", admission.BelowLevel: "below level",
	admission.QueueFull: "queue full", admission.TooLate: "too late",
}

func newAdmissionRunner(setting Setting) runner {
	return &admissionRunner{
		controller: admission.NewController(start, admission.Config{MinimumLimit: setting.Limit, MaximumLimit: setting.Limit, QueueTime: setting.QueueTime}),
		tickets:    map[string]*admission.Ticket{},
	}
}

func (r *admissionRunner) step(step Step) (string, error) {
	now := start.Add(step.At)
	r.verdicts = nil
	switch step.Do {
	case "ask":
		priority := admission.Priority(step.Class, step.Who)
		r.tickets[step.Who] = r.controller.Submit(now, admission.Request{Priority: priority, Deadline: now.Add(step.Left)}, func(verdict admission.Verdict) {
			r.verdicts = append(r.verdicts, step.Who+" "+verdictNames[verdict])
		})
	case "done":
		r.controller.Done(now, &admission.Ticket{}, admission.Outcome{OwnTime: step.Own, Counted: true})
	case "expire":
		r.controller.Advance(now)
	case "withdraw":
		if r.controller.Withdraw(r.tickets[step.Who]) {
			r.verdicts = append(r.verdicts, step.Who+" withdrawn")
		}
	default:
		return "", unknownAction(step)
	}
	if len(r.verdicts) == 0 {
		return "nothing", nil
	}
	return strings.Join(r.verdicts, ", "), nil
}

// budgetRunner runs the retry budget accounts of one user request.
type budgetRunner struct {
	accounts   map[string]*retrybudget.Account
	allowances map[string]int
	retries    int
}

func newBudgetRunner(setting Setting) runner {
	return &budgetRunner{
		accounts:   map[string]*retrybudget.Account{"gateway": retrybudget.Open(setting.Grant)},
		allowances: map[string]int{},
	}
}

func (r *budgetRunner) step(step Step) (string, error) {
	switch step.Do {
	case "call": // From calls Who with an allowance.
		r.allowances[step.Who] = r.accounts[step.From].Delegate()
		r.accounts[step.Who] = retrybudget.Open(r.allowances[step.Who])
		return fmt.Sprintf("loan %d", r.allowances[step.Who]), nil
	case "answer": // Who responds to From.
		unused := r.accounts[step.Who].Close()
		r.accounts[step.From].ReturnUnused(r.allowances[step.Who], unused)
		return fmt.Sprintf("repaid %d", unused), nil
	case "lose": // The response of Who is lost.
		r.accounts[step.Who].Close()
		return "lost", nil
	case "retry":
		if !r.accounts[step.Who].Spend() {
			return "refused", nil
		}
		r.retries++
		return fmt.Sprintf("retry %d", r.retries), nil
	default:
		return "", unknownAction(step)
	}
}

// claimsRunner runs the replicas of one claim group.
type claimsRunner struct {
	replicas map[string]*claims.Replica
	document *claims.Groups
}

func processes(ids []string) []claims.Process {
	list := []claims.Process{}
	for _, id := range ids {
		list = append(list, claims.Process{ID: id, Control: id})
	}
	return list
}

func newClaimsRunner(setting Setting) runner {
	r := &claimsRunner{replicas: map[string]*claims.Replica{}}
	r.document = &claims.Groups{Revision: 1, Groups: []claims.Group{{Epoch: 1, Replicas: processes(setting.Replicas)}}}
	for _, id := range append(append([]string{}, setting.Replicas...), setting.Others...) {
		r.replicas[id] = claims.NewReplica(claims.ReplicaConfig{
			Self: claims.Process{ID: id, Control: id}, Retention: setting.Retention, MaximumClaims: 1000,
		})
		r.replicas[id].Adopt(start, r.document)
	}
	return r
}

var claimVerdicts = map[claims.Verdict]string{
	claims.Granted: "granted", claims.Held: "held", claims.Stale: "stale",
	claims.Behind: "behind", claims.Syncing: "syncing", claims.Full: "full",
}

func (r *claimsRunner) step(step Step) (string, error) {
	now := start.Add(step.At)
	replica := r.replicas[step.Who]
	switch step.Do {
	case "ask": // Run requests the claim from replica Who at epoch Count.
		claim := claims.Claim{Key: claims.NewKey(step.Key), Run: step.Run}
		return claimVerdicts[replica.RequestClaim(now, 0, uint64(step.Count), claim).Verdict], nil
	case "withdraw":
		replica.Withdraw(0, claims.NewKey(step.Key), step.Run)
		return "done", nil
	case "plan": // Write a new epoch with the replicas in To.
		group := r.document.Groups[0]
		r.document = &claims.Groups{Revision: r.document.Revision + 1, Groups: []claims.Group{
			{Epoch: group.Epoch + 1, Replicas: processes(step.To), Previous: group.Replicas}}}
		return fmt.Sprintf("epoch %d", group.Epoch+1), nil
	case "adopt":
		return fmt.Sprintf("adopted %t", replica.Adopt(now, r.document)), nil
	case "collect": // Who takes over the claims of From.
		epoch := r.document.Groups[0].Epoch
		transferred, ok := r.replicas[step.From].HandOver(now, 0, epoch)
		if !ok {
			return "refused", nil
		}
		voting := replica.TakeOver(now, claims.Fetch{From: claims.Process{ID: step.From}, Epoch: epoch}, transferred)
		return fmt.Sprintf("voting %t", voting), nil
	default:
		return "", unknownAction(step)
	}
}

// gossipRunner runs a simulated cluster in virtual time.
type gossipRunner struct {
	cluster  *simulation.MembershipCluster
	markedAt time.Duration
}

func newGossipRunner(setting Setting) runner {
	return &gossipRunner{cluster: simulation.NewMembershipCluster(simulation.MembershipClusterConfig{Members: setting.Members, Seed: setting.Seed, Loss: setting.Loss})}
}

func (r *gossipRunner) step(step Step) (string, error) {
	if wait := step.At - r.cluster.Elapsed(); wait > 0 {
		r.cluster.Run(wait)
	}
	switch step.Do {
	case "crash":
		r.cluster.Crash(step.Count)
	case "freeze":
		r.cluster.Freeze(step.Count)
	case "wake":
		r.cluster.Resume(step.Count)
	case "leave":
		r.cluster.Leave(step.Count)
	case "cut":
		r.cluster.Partition(step.Count)
	case "heal":
		r.cluster.Heal()
	case "mark":
		r.markedAt = r.cluster.Elapsed()
	case "agree": // Wait until the members have converged, at most for Left.
		_, converged := r.cluster.RunUntil(step.Left, r.cluster.Converged)
		return fmt.Sprintf("agreed %t", converged), nil
	case "removals": // Removals of running members since the mark.
		return fmt.Sprintf("false removals %d", r.cluster.FalseRemovals(r.markedAt)), nil
	default:
		return "", unknownAction(step)
	}
	return "done", nil
}

// spreadRunner offers policy revisions to one process.
type spreadRunner struct {
	holder spread.CurrentDocument
}

func newSpreadRunner(Setting) runner { return &spreadRunner{} }

func (r *spreadRunner) step(step Step) (string, error) {
	if step.Do != "offer" {
		return "", unknownAction(step)
	}
	r.holder.Offer(uint64(step.Count), nil)
	return fmt.Sprintf("revision %d", r.holder.Revision()), nil
}
