package result

import "time"

// This file defines the Retry-After of refused requests. It depends on the result code.
// Where it also depends on the current state, the code that refuses the request computes
// the wait:
//
//   - overload (Conclusion.Overload): the time until the gate of the route admits
//     everything again (admission.Gate.ReopensAfter, spread by SpreadWait)
//   - RateLimited: the same, but at least the time until the back end takes a request that
//     comes behind those that wait for it (admission.Controller.RateRetryAfter)
//   - QuotaExceeded: the time until the tenant's bucket has a token (quota.Decision)
//   - RequestQuarantined: the time until the quarantine of the request ends
//     (quarantine.Ledger)

// wait holds the waits of a result code.
type wait struct {
	usual   time.Duration // used when no wait was computed; 0 for no Retry-After
	minimum time.Duration // lower bound of computed waits
}

// usualWait is the wait when none was computed. The conditions below usually end within it,
// and the header has no smaller unit.
const usualWait = time.Second

// minimumQuotaWait is the minimum wait of a caller beyond its quota. Its next token may be
// due within microseconds, and an immediate retry would be refused again.
const minimumQuotaWait = 100 * time.Millisecond

var waits = map[Code]wait{
	// Overload: limits and levels adapt to a change of demand within a second.
	Overloaded:     {usual: usualWait},
	ShedEarly:      {usual: usualWait},
	BackendRefused: {usual: usualWait},
	RateLimited:    {usual: usualWait},

	// Briefly unavailable: a restart takes about a second, and a back end sends a
	// heartbeat about once a second.
	NoNode:             {usual: usualWait},
	NodeRefused:        {usual: usualWait},
	BackendUnreachable: {usual: usualWait},
	BackendLeft:        {usual: usualWait},
	NotReady:           {usual: usualWait},
	Draining:           {usual: usualWait}, // another process serves the request

	// No proof or no majority: the process retries within a second.
	ClaimUnavailable: {usual: usualWait},
	KeysUnproven:     {usual: usualWait},
	PolicyOutdated:   {usual: usualWait},

	// The store limits the number of requests per second.
	StoreUnavailable: {usual: usualWait},

	// Quota: when the tenant sends fewer requests, the next report to the coordinator
	// shows it, within a second.
	QuotaExceeded: {usual: usualWait, minimum: minimumQuotaWait},
}

// RetryAfter returns the wait for a request that was refused with code, 0 for no
// Retry-After header. computed is the wait computed from the current state, 0 when there
// is none.
func RetryAfter(code Code, computed time.Duration) time.Duration {
	row := waits[code]
	if computed <= 0 {
		return row.usual
	}
	return max(computed, row.minimum)
}

// waitSpread is the maximum random extension of a wait, as a share of it. It keeps callers
// that were refused together from retrying together.
const waitSpread = 0.5

// SpreadWait extends a wait by a random share of up to waitSpread. random is uniformly
// distributed in [0, 1).
func SpreadWait(wait time.Duration, random float64) time.Duration {
	spread := 1 + waitSpread*random
	return time.Duration(spread * float64(wait))
}
