// Package retry decides what follows the end of an attempt: the call is sent to another
// node at once, again after a pause, or not at all.
//
// It owns that rule and the times and bounds in it. What a result code lets one conclude
// stands beside the codes (result.Conclusion), and how many retries there are is counted
// by package retrybudget. Plug-in retry gathers the Situation, asks the budgets and
// carries the Decision out. Nothing here does I/O, reads a clock or keeps state.
package retry
