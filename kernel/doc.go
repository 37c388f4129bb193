// Package kernel is the core of a loomcleat process. It turns HTTP requests into Calls
// and passes them to a chain of plug-ins, which make all decisions.
//
// It owns the listeners and servers, the control loop, the table of executions (requests
// on which the back end is working), pipelined requests, and the snapshots that traffic
// reads (Process.Policy, Process.Members). Plug-ins fill the snapshots and implement the
// interfaces in services.go. Connections come from package transport.
//
// A plug-in registers itself with Register and is set up for each Process; hooks.go lists
// its extension points. The order in which plug-ins handle a call is defined in chain.go.
//
// Control state belongs to one goroutine, the Loop. Traffic goroutines read immutable
// snapshots and do not wait for the loop, except when they request a claim.
package kernel
