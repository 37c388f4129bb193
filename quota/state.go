package quota

import (
	"slices"
	"strings"
	"time"
)

// State is one process's view of the quota of one tenant, for operators.
type State struct {
	Tenant string  `json:"tenant"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	// Admitted and Refused count the requests at this process over approximately the last
	// window. Refunded requests count as admitted.
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	// Admit is the share of the requests that is currently admitted.
	Admit float64 `json:"admit"`
}

// States returns the state of all tenants with a quota, sorted by name.
func (l *Limiter) States(now time.Time) []State {
	states := make([]State, 0, len(l.accounts))
	for tenant, a := range l.accounts {
		admitted, refused := a.recent.sum(now, l.config.Window)
		states = append(states, State{Tenant: tenant, Rate: a.quota.Rate, Burst: a.quota.Burst,
			Admitted: admitted, Refused: refused, Admit: a.admitShare})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Tenant, b.Tenant) })
	return states
}
