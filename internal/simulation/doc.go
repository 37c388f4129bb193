// Package simulation runs code that uses neither I/O nor the system clock in virtual time.
// Tests and recorded traces use it. It owns the discrete-event Engine, which runs functions
// in the order of their scheduled virtual time, and MembershipCluster, a simulated cluster
// whose members gossip under message loss, delays, crashes, freezes and partitions. Runs
// with the same seed are identical. It relies only on package membership.
package simulation
