// Package quarantine identifies requests that crash the back ends running them, and decides
// whether to refuse further attempts of such a request.
//
// Some requests crash every back end that runs them. When such a request is retried, by a
// process or by the client, it takes down one back end after another, along with all other
// requests in flight there. No single process can detect this: each attempt has a different
// id and may enter the mesh anywhere.
//
// A request is identified by its Signature. Beside each back end, UnansweredRequests records the
// requests that ended without an answer; they are the suspects if the back end turns out to
// have crashed. Processes report crashes to each other, and each merges the reports into a
// Ledger. A request suspected of enough crashes is quarantined: it is refused for some time,
// then admitted one trial at a time, like through a half-open circuit breaker. An answer from
// a back end clears the request of all its crashes.
//
// The package holds one process's knowledge of crashes in memory, and the rules. It does no
// I/O and reads no clock: plugin/quarantine detects crashes, exchanges the reports, saves
// quarantined requests in the store and passes the time.
package quarantine
