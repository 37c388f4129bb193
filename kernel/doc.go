// Package kernel is the small core of a loomcleat process: it turns HTTP requests into
// Calls and hands them to a chain of plug-ins, which make all decisions.
//
// It owns the listeners and servers, the control loop, the table of the requests that the
// back end is working on (executions), pipelined requests, and the snapshots that traffic
// reads (Process.Policy, Process.Members). It relies on plug-ins for what those hold, by
// the interfaces in services.go, and on package transport for connections.
//
// A plug-in registers itself with Register and is set up for each Process; what it may add
// is in hooks.go. The order in which plug-ins see a call is in chain.go and nowhere else.
//
// Control state belongs to one goroutine, the Loop. Traffic goroutines read immutable
// snapshots and never wait for the loop, except with claims, which are asked for there.
package kernel
