package quota

import "time"

// Usage is what one process did for one tenant since its last report.
type Usage struct {
	Tenant   string `json:"t"`
	Admitted int    `json:"a,omitempty"`
	Offered  int    `json:"n"` // admitted and refused ones
	// Throttled says that the process admits only a share of the tenant's requests, as
	// the coordinator had said: a new one must not begin with a whole burst.
	Throttled bool `json:"lim,omitempty"`
}

// Report is what a process tells the coordinator.
type Report struct {
	Process string `json:"from"`
	// Alone says that the process keeps to its equal shares, since the answer to its
	// last report did not come.
	Alone bool    `json:"alone,omitempty"`
	Usage []Usage `json:"usage,omitempty"`
}

// Share is the part of a tenant's requests that is to be admitted, above 0 and up to 1.
type Share struct {
	Tenant string  `json:"t"`
	Admit  float64 `json:"p"`
}

// Answer is what the coordinator answers: the tenants that are near their quota. Of all
// others, everything is admitted.
type Answer struct {
	Shares []Share `json:"shares,omitempty"`
	// Again asks for the next report soon: the coordinator is new.
	Again bool `json:"again,omitempty"`
}

// AgainTime is the time after which a process reports again to a new coordinator that asked
// for it.
const AgainTime = 100 * time.Millisecond
