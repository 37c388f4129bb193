// Package virtual runs the real processes of a mesh in virtual time, inside a bubble of package
// testing/synctest. Processes, clients and the stub of the store talk over a network in memory,
// whose hosts a test can silence and whose links it can delay.
//
// It is for tests of bounds of time that must hold while other machines are frozen, cut off or
// without power. Times are exact, since no real time passes. It relies on package kernel to take
// its network from the options, and on package clocktest for the clock.
package virtual
