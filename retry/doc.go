// Package retry decides when a call is sent again: how long an attempt may go without an
// answer (Timeout), and what follows when it has ended (Decide): the call is sent to
// another node at once, again after a pause, or not at all.
//
// It owns these rules and the times and bounds in them. What a result code lets one
// conclude stands beside the codes (result.Conclusion), and how many retries there are is
// counted by package retrybudget. Plug-ins routing and retry gather the facts, ask the
// budgets and carry the decisions out. Nothing here does I/O, reads a clock or keeps state.
package retry
