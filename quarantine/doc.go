// Package quarantine finds requests that end the back ends which run them.
//
// Some requests crash whatever runs them. Sent again, by a process or by its caller, such
// a request takes one back end after the other, with all that these were working on. No
// single process sees that: each attempt has another name, and may enter anywhere.
//
// A request is known by its Signature. A Witness stands beside each back end and names the
// requests that were lost when it ended. Processes tell each other, and each adds up in a
// Ledger what it is told: a request that was lost with enough of them is refused. One that
// a back end answers is cleared of all that it was suspected of.
//
// The package does no I/O and has no clock.
package quarantine
