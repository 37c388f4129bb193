// Package soak runs real nodes as separate processes beside stand-ins of back ends and of
// the store, lets faults strike from outside in an order drawn by a seed, and checks the
// promises while it runs, from what callers and back ends see.
//
// A Checker holds the promises; it does no I/O. A fleet holds the processes, callers send
// requests, and faults are drawn by one generator, so that a seed gives the same series.
package soak
