// Package quarantine finds the requests that crash the back ends which run them, and
// decides whether an attempt of such a request is refused.
//
// Some requests crash whatever runs them. Retried, by a process or by its caller, such a
// request takes down one back end after the other, with everything that these work on. No
// single process sees that: each attempt has another id, and may enter anywhere.
//
// A request is known by its Signature. Beside each back end, LostRequests remembers which
// requests ended without an answer: they are the suspects when the back end has crashed.
// Processes report crashes to each other, and each merges the reports in a Ledger. A request
// that is suspected of enough crashes is quarantined: it is refused for a time, and then let
// through one trial at a time, as by a circuit breaker that is half open. One that a back end
// answers is cleared of all crashes.
//
// The package owns what one process knows of crashes, in memory, and the rules. Package
// plugin/quarantine detects crashes, carries the reports and saves quarantined requests in
// the store. This package does no I/O and has no clock: its callers pass the time.
package quarantine
