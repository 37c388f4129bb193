package result

import "time"

// This file decides what a refused caller is told in Retry-After. The wait depends on
// the result code. Where it also depends on the moment, whoever refuses the request
// passes in what it has computed:
//
//   - overload (Conclusion.Overload): when the gate of the route admits everything again
//     (admission.Gate.Reopens, spread by SpreadWait)
//   - QuotaExceeded: when the tenant's bucket has a token again (quota.Decision)
//   - RequestQuarantined: when the quarantine of the request ends (quarantine.Ledger)
//
// Codes without a row tell the caller nothing.

// wait is what callers are told for one code.
type wait struct {
	usual time.Duration // told when nothing was computed; 0: no Retry-After
	least time.Duration // lower bound of what was computed
}

// usualWait is told where nothing better is known. It is one unit of the header: callers
// that know no fractions could not be told less. Each of the conditions below usually
// ends within it.
const usualWait = time.Second

// leastQuotaWait is the least that a caller beyond its quota is told. A token may be due
// within microseconds, and a caller that came back at once would only be refused again.
const leastQuotaWait = 100 * time.Millisecond

var waits = map[Code]wait{
	// Overload: limits and levels follow a change of demand within a second.
	Overloaded:     {usual: usualWait},
	ShedEarly:      {usual: usualWait},
	BackendRefused: {usual: usualWait},

	// Something is absent: a process that is restarted is back within about a second,
	// and a back end sends a heartbeat about once a second.
	NoNode:             {usual: usualWait},
	NodeRefused:        {usual: usualWait},
	BackendUnreachable: {usual: usualWait},
	BackendLeft:        {usual: usualWait},
	NotReady:           {usual: usualWait},
	Draining:           {usual: usualWait}, // another process takes the request

	// The process lacks proof or a majority: it tries again within a second.
	ClaimUnavailable: {usual: usualWait},
	KeysUnproven:     {usual: usualWait},

	// The store counts its callers' requests by the second.
	StoreUnavailable: {usual: usualWait},

	// A tenant beyond its quota has room again once it sends less, of which the
	// coordinator hears with the next report, within a second.
	QuotaExceeded: {usual: usualWait, least: leastQuotaWait},
}

// RetryAfter returns what a caller is told that was refused with a code. computed is the
// wait that follows from the moment, 0 when nothing is known of it.
func RetryAfter(code Code, computed time.Duration) time.Duration {
	row := waits[code]
	if computed <= 0 {
		return row.usual
	}
	return max(computed, row.least)
}

// waitSpread is the largest part of a wait that is added to it at random, so that callers
// that were refused together do not come back together.
const waitSpread = 0.5

// SpreadWait lengthens a wait by a random part of it. random is even from 0 up to 1.
func SpreadWait(wait time.Duration, random float64) time.Duration {
	spread := 1 + waitSpread*random
	return time.Duration(spread * float64(wait))
}
