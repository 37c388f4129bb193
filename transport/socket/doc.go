// Package socket reads and writes TCP connections without telling Go's
// scheduler that a system call begins and ends.
//
// Sockets of Go programs never block: a call on one returns at once, and the
// runtime's poller waits for the next event. Go's net package announces each
// call to the scheduler all the same. In a process that rests between requests
// each announcement wakes the runtime's monitor thread, which then looks after
// a call that has long returned, by ten naps for each forwarded request. On a
// machine with a part of a core, these naps cost as much as a tenth of the work.
//
// Under the race detector connections are those of the net package, since the
// detector takes its order of reads and writes from there.
package socket
