package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

type statusCommand struct {
	Node    string        `arg:"" help:"Control address of any process of the mesh, IP:port."`
	Timeout time.Duration `help:"Time for each process to answer." default:"2s"`
	Output  string        `help:"text or json." enum:"text,json" default:"text"`
}

// Run shows the status of all members.
func (c *statusCommand) Run(output *streams) error {
	statuses, err := meshStatus(c.Node, c.Timeout)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(output.out, statuses)
	}
	table := tabwriter.NewWriter(output.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "PROCESS\tROLE\tSERVICE\tZONE\tSTATE\tPOLICY\tGROUPS\tIN FLIGHT\tLIMIT\tLEVEL\tCLAIMS")
	for _, s := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.ID, s.Role, s.Service, s.Zone, s.State,
			s.Revisions.Policy, s.Revisions.Groups, s.InFlight, s.Limit, s.Level, s.Claims)
	}
	return table.Flush()
}

// memberStatus is the status of one member, or what the mesh says of one that
// does not answer.
type memberStatus struct {
	wire.Status
	State string `json:"state"`
}

// meshStatus asks one process for the members and then each member for its
// status.
func meshStatus(address string, timeout time.Duration) ([]memberStatus, error) {
	first, err := askStatus(address, timeout)
	if err != nil {
		return nil, err
	}
	answers := askMembers[wire.Status](first.Members, wire.PathStatus, timeout)
	statuses := make([]memberStatus, len(first.Members))
	for i, member := range first.Members {
		statuses[i] = statusOf(member, answers[i])
	}
	return statuses, nil
}

// statusOf returns what a member answered, nil for no answer, or what the mesh says of it.
func statusOf(member membership.Member, answer *wire.Status) memberStatus {
	known := memberStatus{State: member.Status.String()}
	known.ID, known.Service, known.Zone, known.Region = member.ID, member.Service, member.Zone, member.Region
	if member.Status == membership.Dead {
		return known
	}
	if answer == nil || answer.ID != member.ID { // another process may have its address
		known.State += ", no answer"
		return known
	}
	known.Status = *answer
	known.Members = nil
	switch {
	case answer.Leaving:
		known.State = "leaving"
	case !answer.Ready:
		known.State = "starting"
	default:
		known.State = "ready"
	}
	return known
}

func askStatus(address string, timeout time.Duration) (wire.Status, error) {
	var status wire.Status
	err := askProcess(address, wire.PathStatus, timeout, &status)
	return status, err
}

// askMembers asks all members that are not dead at a path, at once. The answers are in the
// order of the members, nil for those that did not answer.
func askMembers[T any](members []membership.Member, path string, timeout time.Duration) []*T {
	answers := make([]*T, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		if member.Status == membership.Dead {
			continue
		}
		group.Go(func() {
			answer := new(T)
			if askProcess(member.Control, path, timeout, answer) == nil {
				answers[i] = answer
			} // the output shows that it did not answer
		})
	}
	group.Wait()
	return answers
}

// askProcess reads what a process answers at a path of its control address.
func askProcess(address, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return result.Wrap(result.UsageInvalid, err, "control address %q", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result.Wrap(result.NodeUnreachable, err, "no answer from %s", address)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return result.Wrap(result.NodeUnreachable, err, "the answer of %s is not understood", address)
	}
	return nil
}

// pollInterval is the time between two looks at the mesh.
const pollInterval = 50 * time.Millisecond

// pollTimeout is the time that each process has to answer one look.
const pollTimeout = time.Second

// waitInForce waits until all members have the policy revision, patience at most, and
// returns how many have it and how many there are, 0 when the mesh did not answer.
func waitInForce(address string, revision uint64, patience time.Duration) (inForce, members int) {
	end := time.Now().Add(patience)
	for {
		inForce, members = countInForce(address, revision)
		if (members > 0 && inForce == members) || time.Now().After(end) {
			return inForce, members
		}
		time.Sleep(pollInterval)
	}
}

// countInForce returns how many members have the policy revision and how many there are.
// Those that do not answer count as members that do not have it, dead ones not at all.
func countInForce(address string, revision uint64) (inForce, members int) {
	statuses, err := meshStatus(address, pollTimeout)
	if err != nil {
		return 0, 0 // the next look may succeed; in the end the command prints how many have it
	}
	for _, s := range statuses {
		if s.State == membership.Dead.String() {
			continue
		}
		members++
		if s.Revisions.Policy >= revision {
			inForce++
		}
	}
	return inForce, members
}
