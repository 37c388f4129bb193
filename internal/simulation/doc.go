// Package simulation plays code without I/O or clock in virtual time, for tests and
// recorded traces. It owns a discrete-event Engine, which runs functions in the order of
// the virtual time for which they were scheduled, and a MembershipMesh, which plays the
// gossip of a whole mesh under losses, delays, crashes, freezes and cuts. Runs are
// repeatable. It relies on package membership only.
package simulation
