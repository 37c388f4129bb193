package cli

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/wire"
)

func TestTenantUseIsSummed(t *testing.T) {
	is := is.New(t)
	members := []membership.Member{{ID: "a"}, {ID: "b"}, {ID: "silent"}, {ID: "gone", Status: membership.Dead}}
	state := func(tenant string, admitted, refused int, admit float64) quota.State {
		return quota.State{Tenant: tenant, Rate: 5, Burst: 10, Admitted: admitted, Refused: refused, Admit: admit}
	}
	answers := []*wire.Tenants{
		{ID: "a", Quotas: []quota.State{state("small", 1, 0, 1), state("large", 30, 4, 0.5)}},
		{ID: "b", CutOff: true, Quotas: []quota.State{state("small", 2, 0, 1), state("large", 20, 1, 0.25)}},
		nil,
		nil,
	}
	found := sumTenants(members, answers)
	is.Equal(found.Answered, 2)
	is.Equal(found.CutOff, 1)
	is.Equal(found.Silent, 1) // dead members are not expected to answer
	is.Equal(found.Tenants, []tenantUse{
		{State: state("large", 50, 5, 0.25), Throttled: 2},
		{State: state("small", 3, 0, 1)},
	})
}
