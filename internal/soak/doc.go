// Package soak runs real nodes as separate processes beside stand-ins of back ends and of
// the store, lets faults strike from outside in an order drawn by a seed, and checks the
// promises while it runs, from what callers and back ends see.
//
// It owns the processes and stand-ins that it starts (fleet, node), the faults, the callers
// and the Checker, which holds the promises and does no I/O. It relies on the built program,
// on packages platformbackend and metastore for the other side, and on package platform for
// the names of headers. Faults are drawn by one generator, so that a seed gives the same
// series; the times of processes differ.
package soak
