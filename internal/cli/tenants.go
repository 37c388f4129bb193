package cli

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/wire"
)

type tenantsCommand struct {
	Node    string        `arg:"" help:"Control address of any process of the mesh, IP:port."`
	Timeout time.Duration `help:"Time for each process to answer." default:"2s"`
	Output  string        `help:"text or json." enum:"text,json" default:"text"`
}

// tenantUse is the quota use of one tenant, summed over the processes that answered.
type tenantUse struct {
	quota.State
	// Throttled is the number of processes that admit only a share of the tenant's
	// requests.
	Throttled int `json:"narrowed"`
}

// meshTenants is the quota use of all tenants.
type meshTenants struct {
	Tenants  []tenantUse `json:"tenants"`
	Answered int         `json:"answered"` // processes that answered
	CutOff   int         `json:"cut_off"`  // processes that answered and are limited to equal shares
	Silent   int         `json:"silent"`   // processes that did not answer
}

// Run shows the tenants with a quota, sorted by their number of requests, highest first.
func (c *tenantsCommand) Run(output *streams) error {
	found, err := askTenants(c.Node, c.Timeout)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(output.out, found)
	}
	table := tabwriter.NewWriter(output.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "TENANT\tRATE/S\tBURST\tADMITTED\tREFUSED\tNARROWED AT\tADMIT")
	for _, t := range found.Tenants {
		fmt.Fprintf(table, "%s\t%g\t%g\t%d\t%d\t%d\t%.2f\n", t.Tenant, t.Rate, t.Burst, t.Admitted, t.Refused, t.Throttled, t.Admit)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(output.out, "%d processes answered, %d of them cut off; %d did not answer\n", found.Answered, found.CutOff, found.Silent)
	return nil
}

// askTenants asks the process at address for the members, and then each member for its
// quotas.
func askTenants(address string, timeout time.Duration) (meshTenants, error) {
	first, err := askStatus(address, timeout)
	if err != nil {
		return meshTenants{}, err
	}
	return sumTenants(first.Members, askMembers[wire.Tenants](first.Members, wire.PathTenants, timeout)), nil
}

// sumTenants sums the answers of members. Members that did not answer have nil.
func sumTenants(members []membership.Member, answers []*wire.Tenants) meshTenants {
	found := meshTenants{}
	byName := map[string]*tenantUse{}
	for i, member := range members {
		answer := answers[i]
		switch {
		case member.Status == membership.Dead:
			continue
		case answer == nil:
			found.Silent++
			continue
		case answer.CutOff:
			found.CutOff++
		}
		found.Answered++
		for _, state := range answer.Quotas {
			addState(byName, state)
		}
	}
	for _, use := range byName {
		found.Tenants = append(found.Tenants, *use)
	}
	slices.SortFunc(found.Tenants, func(a, b tenantUse) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), cmp.Compare(a.Tenant, b.Tenant))
	})
	return found
}

// addState adds the state of a tenant at one process to the tenant's sum. The sum's Admit is
// the lowest of all processes.
func addState(byName map[string]*tenantUse, state quota.State) {
	use, exists := byName[state.Tenant]
	if !exists {
		use = &tenantUse{State: quota.State{Tenant: state.Tenant, Rate: state.Rate, Burst: state.Burst, Admit: 1}}
		byName[state.Tenant] = use
	}
	use.Admitted += state.Admitted
	use.Refused += state.Refused
	use.Admit = min(use.Admit, state.Admit)
	if state.Admit < 1 {
		use.Throttled++
	}
}
