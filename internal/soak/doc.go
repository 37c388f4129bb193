// Package soak runs nodes as separate processes beside stubs of back ends and of the store,
// injects faults from outside in an order derived from a seed, and checks the invariants of
// the product against what callers and back ends observe.
//
// It owns the processes and stubs that it starts (fleet, node), the faults, the callers and
// the Checker, which checks the invariants and does no I/O. It relies on the built program, on
// packages platformbackend and metastore for the stubs, and on package platform for header
// names. A single generator draws the faults, so a seed gives the same series of faults; the
// timing of the processes varies.
package soak
