package quota

import "time"

// Usage counts the requests of one tenant at one process since its last answered report.
type Usage struct {
	Tenant   string `json:"t"`
	Admitted int    `json:"a,omitempty"`
	// Offered counts all requests, admitted and refused.
	Offered int `json:"n"`
	// Throttled is whether the process admits only a share of the tenant's requests, as set
	// by a coordinator. A new coordinator then starts the tenant without a burst.
	Throttled bool `json:"lim,omitempty"`
}

// Report is the message that a process sends to the coordinator.
type Report struct {
	Process string `json:"from"`
	// UsesEqualShares is whether the process uses its equal shares, because its last report
	// was not answered.
	UsesEqualShares bool    `json:"alone,omitempty"`
	Usage           []Usage `json:"usage,omitempty"`
}

// Share is the share of a tenant's requests to admit, above 0 and up to 1.
type Share struct {
	Tenant string  `json:"t"`
	Admit  float64 `json:"p"`
}

// Answer is the coordinator's answer to a report. It lists the throttled tenants; all requests
// of other tenants are admitted.
type Answer struct {
	Shares []Share `json:"shares,omitempty"`
	// ReportAgain asks for the next report after ReportAgainDelay, since the coordinator is new.
	ReportAgain bool `json:"again,omitempty"`
}

// ReportAgainDelay is the time after which a process reports again if the answer asked for it.
const ReportAgainDelay = 100 * time.Millisecond
