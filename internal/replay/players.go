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

// admissionPlayer plays requests at one back end. A step leads to the verdicts
// that it caused, in order.
type admissionPlayer struct {
	controller *admission.Controller
	verdicts   []string
	tickets    map[string]*admission.Ticket
}

var verdictNames = map[admission.Verdict]string{
	admission.Admitted: "admitted", admission.BelowLevel: "below level",
	admission.QueueFull: "queue full", admission.TooLate: "too late",
}

func newAdmissionPlayer(setting Setting) player {
	return &admissionPlayer{
		controller: admission.NewController(start, admission.Config{MinimumLimit: setting.Limit, MaximumLimit: setting.Limit, QueueTime: setting.QueueTime}),
		tickets:    map[string]*admission.Ticket{},
	}
}

func (p *admissionPlayer) step(step Step) (string, error) {
	now := start.Add(step.At)
	p.verdicts = nil
	switch step.Do {
	case "ask":
		priority := admission.Priority(step.Class, step.Who)
		p.tickets[step.Who] = p.controller.Ask(now, admission.Request{Priority: priority, Deadline: now.Add(step.Left)}, func(verdict admission.Verdict) {
			p.verdicts = append(p.verdicts, step.Who+" "+verdictNames[verdict])
		})
	case "done":
		p.controller.Done(now, &admission.Ticket{}, admission.Outcome{Own: step.Own, Counted: true})
	case "expire":
		p.controller.Expire(now)
	case "withdraw":
		if p.controller.Withdraw(p.tickets[step.Who]) {
			p.verdicts = append(p.verdicts, step.Who+" withdrawn")
		}
	default:
		return "", unknownAction(step)
	}
	if len(p.verdicts) == 0 {
		return "nothing", nil
	}
	return strings.Join(p.verdicts, ", "), nil
}

// budgetPlayer plays the accounts of one user request.
type budgetPlayer struct {
	accounts map[string]*retrybudget.Account
	loans    map[string]int
	spent    int
}

func newBudgetPlayer(setting Setting) player {
	return &budgetPlayer{
		accounts: map[string]*retrybudget.Account{"gateway": retrybudget.Open(setting.Grant)},
		loans:    map[string]int{},
	}
}

func (p *budgetPlayer) step(step Step) (string, error) {
	switch step.Do {
	case "call": // who is called by from, with a loan
		p.loans[step.Who] = p.accounts[step.From].Lend()
		p.accounts[step.Who] = retrybudget.Open(p.loans[step.Who])
		return fmt.Sprintf("loan %d", p.loans[step.Who]), nil
	case "answer": // who answers from
		unspent := p.accounts[step.Who].Close()
		p.accounts[step.From].Repay(p.loans[step.Who], unspent)
		return fmt.Sprintf("repaid %d", unspent), nil
	case "lose": // the answer of who is lost
		p.accounts[step.Who].Close()
		return "lost", nil
	case "retry":
		if !p.accounts[step.Who].Spend() {
			return "refused", nil
		}
		p.spent++
		return fmt.Sprintf("retry %d", p.spent), nil
	default:
		return "", unknownAction(step)
	}
}

// claimsPlayer plays the replicas of one claim group.
type claimsPlayer struct {
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

func newClaimsPlayer(setting Setting) player {
	p := &claimsPlayer{replicas: map[string]*claims.Replica{}}
	p.document = &claims.Groups{Revision: 1, Groups: []claims.Group{{Epoch: 1, Replicas: processes(setting.Replicas)}}}
	for _, id := range append(append([]string{}, setting.Replicas...), setting.Others...) {
		p.replicas[id] = claims.NewReplica(claims.ReplicaConfig{
			Self: claims.Process{ID: id, Control: id}, Retention: setting.Retention, MaximumClaims: 1000,
		})
		p.replicas[id].Adopt(start, p.document)
	}
	return p
}

var claimVerdicts = map[claims.Verdict]string{
	claims.Granted: "granted", claims.Held: "held", claims.Stale: "stale",
	claims.Behind: "behind", claims.Syncing: "syncing", claims.Full: "full",
}

func (p *claimsPlayer) step(step Step) (string, error) {
	now := start.Add(step.At)
	replica := p.replicas[step.Who]
	switch step.Do {
	case "ask": // run asks the replica who at epoch count
		claim := claims.Claim{Key: claims.NewKey(step.Key), Run: step.Run}
		return claimVerdicts[replica.Ask(now, 0, uint64(step.Count), claim).Verdict], nil
	case "withdraw":
		replica.Withdraw(0, claims.NewKey(step.Key), step.Run)
		return "done", nil
	case "plan": // a new epoch is written
		group := p.document.Groups[0]
		p.document = &claims.Groups{Revision: p.document.Revision + 1, Groups: []claims.Group{
			{Epoch: group.Epoch + 1, Replicas: processes(step.To), Previous: group.Replicas}}}
		return fmt.Sprintf("epoch %d", group.Epoch+1), nil
	case "adopt":
		return fmt.Sprintf("adopted %t", replica.Adopt(now, p.document)), nil
	case "collect": // who collects the claims of from
		epoch := p.document.Groups[0].Epoch
		handed, ok := p.replicas[step.From].HandOver(now, 0, epoch)
		if !ok {
			return "refused", nil
		}
		voting := replica.TakeOver(now, claims.Fetch{From: claims.Process{ID: step.From}, Epoch: epoch}, handed)
		return fmt.Sprintf("voting %t", voting), nil
	default:
		return "", unknownAction(step)
	}
}

// gossipPlayer plays a mesh in virtual time.
type gossipPlayer struct {
	mesh    *simulation.MembershipMesh
	started time.Duration
}

func newGossipPlayer(setting Setting) player {
	return &gossipPlayer{mesh: simulation.NewMembershipMesh(simulation.MembershipConfig{Members: setting.Members, Seed: setting.Seed, Loss: setting.Loss})}
}

func (p *gossipPlayer) step(step Step) (string, error) {
	if wait := step.At - p.mesh.Elapsed(); wait > 0 {
		p.mesh.Run(wait)
	}
	switch step.Do {
	case "crash":
		p.mesh.Crash(step.Count)
	case "freeze":
		p.mesh.Freeze(step.Count)
	case "wake":
		p.mesh.Wake(step.Count)
	case "leave":
		p.mesh.Leave(step.Count)
	case "cut":
		p.mesh.Cut(step.Count)
	case "heal":
		p.mesh.Heal()
	case "mark":
		p.started = p.mesh.Elapsed()
	case "agree": // within the time left
		_, agreed := p.mesh.RunUntil(step.Left, p.mesh.Agree)
		return fmt.Sprintf("agreed %t", agreed), nil
	case "removals": // of members that run, since the mark
		return fmt.Sprintf("false removals %d", p.mesh.FalseRemovals(p.started)), nil
	default:
		return "", unknownAction(step)
	}
	return "done", nil
}

// spreadPlayer plays revisions that one process is offered.
type spreadPlayer struct {
	keeper spread.Keeper
}

func newSpreadPlayer(Setting) player { return &spreadPlayer{} }

func (p *spreadPlayer) step(step Step) (string, error) {
	if step.Do != "offer" {
		return "", unknownAction(step)
	}
	p.keeper.Offer(uint64(step.Count), nil)
	return fmt.Sprintf("revision %d", p.keeper.Revision()), nil
}
