// Package socket reads and writes TCP connections without notifying the Go
// scheduler of each system call.
//
// Sockets of Go programs are non-blocking: a system call on one returns at once,
// and the runtime's poller waits for the next event. The net package still
// notifies the scheduler of each call. In a process that is mostly idle, each
// notification wakes the runtime's monitor thread (sysmon), which costs CPU time
// for a call that has already returned.
//
// Under the race detector, connections are plain net connections: the detector
// derives the order of reads and writes from the net package.
package socket
