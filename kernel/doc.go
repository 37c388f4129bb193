// Package kernel is the small core of a loomcleat process: it binds listeners,
// runs the control loop, turns HTTP requests into Calls and hands them to a
// chain of plug-ins. All decisions are made by plug-ins.
//
// A plug-in registers itself with Register and is set up for each Process. The
// order in which plug-ins see a call is in chain.go and nowhere else.
//
// Control state belongs to one goroutine, the Loop. Traffic goroutines read
// immutable snapshots (Process.Policy, Process.Members) and never wait for the
// loop, except for claims, which are part of a request.
package kernel
