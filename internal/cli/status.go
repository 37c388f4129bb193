package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/transport/checkedconn"
	"github.com/loomcleat/loomcleat/wire"
)

type statusCommand struct {
	Node    string        `arg:"" help:"Control address of any process of the mesh, IP:port."`
	Timeout time.Duration `help:"Time for each process to answer." default:"2s"`
	Output  string        `help:"text or json." enum:"text,json" default:"text"`
}

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

// memberStatus is the status of one member. For a member that does not answer, it holds
// only what the queried process knows of it from gossip.
type memberStatus struct {
	wire.Status
	State string `json:"state"`
}

// meshStatus asks the process at address for the members, and then each member for its
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

// statusOf returns the status that a member answered. Without an answer (nil) it returns
// what is known of the member from gossip.
func statusOf(member membership.Member, answer *wire.Status) memberStatus {
	known := memberStatus{State: member.Status.String()}
	known.ID, known.Service, known.Zone, known.Region = member.ID, member.Service, member.Zone, member.Region
	if member.Status == membership.Dead {
		return known
	}
	if answer == nil || answer.ID != member.ID { // another process may now use its address
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

// askMembers sends a request for path to the control addresses of all members that are not
// dead, concurrently. The answers are in the order of the members, nil for members that
// did not answer.
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
			} // the output shows which members did not answer
		})
	}
	group.Wait()
	return answers
}

// maximumStatus bounds the answer of a process, in bytes.
const maximumStatus = 64 << 20

// statusClient sends the requests of the commands to processes.
var statusClient = &http.Client{Transport: &http.Transport{DialContext: checkedconn.Dial((&net.Dialer{}).DialContext)}}

// askProcess requests a path at the control address of a process and decodes its JSON
// answer.
func askProcess(address, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return result.Wrap(result.UsageInvalid, err, "control address %q", address)
	}
	response, err := statusClient.Do(request)
	if err != nil {
		return result.Wrap(result.NodeUnreachable, err, "no answer from %s", address)
	}
	defer response.Body.Close()
	body := http.MaxBytesReader(nil, response.Body, maximumStatus)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		return result.Wrap(result.NodeUnreachable, err, "decoding the answer of %s", address)
	}
	return nil
}

// pollInterval is the time between two polls of the mesh.
const pollInterval = 50 * time.Millisecond

// pollTimeout bounds the answer of each process to a poll.
const pollTimeout = time.Second

// waitInForce waits until all members have the policy revision in force, or until the
// timeout. It returns the number of members that have it and the number of all members,
// both 0 if the process at address did not answer.
func waitInForce(address string, revision uint64, timeout time.Duration) (inForce, members int) {
	end := time.Now().Add(timeout)
	for {
		inForce, members = countInForce(address, revision)
		if (members > 0 && inForce == members) || time.Now().After(end) {
			return inForce, members
		}
		time.Sleep(pollInterval)
	}
}

// countInForce returns the number of members that have the policy revision in force and
// the number of all members. Members that do not answer count as not having it; dead
// members do not count.
func countInForce(address string, revision uint64) (inForce, members int) {
	statuses, err := meshStatus(address, pollTimeout)
	if err != nil {
		return 0, 0 // the next poll may succeed
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
