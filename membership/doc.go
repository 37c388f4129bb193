// Package membership keeps the list of processes of the mesh by gossip.
//
// The design follows SWIM (Das, Gupta, Motivala, 2002): each process probes one
// other process an interval, in shuffled order, so that the cost for each
// process does not grow with the mesh. A probe that fails is repeated through
// other processes. When that fails too, the member is suspected, and after a
// time without contradiction it is declared dead. A suspected member that
// hears of it contradicts by raising its incarnation. What is learned rides on
// probes and on gossip messages, each of which carries a bounded number of
// updates.
//
// Every message carries a digest of its sender's list. Where digests differ, the
// two compare the digests of parts of their lists and exchange the parts that
// differ (anti-entropy). News that comes in bulk this way is not passed on by
// gossip, so that a mesh that starts at once does not send each record many times
// to everybody.
//
// A process that is stopping, or whose back end is, says so itself: Leaving and
// Down are part of the record that only the member changes.
//
// Process ids are new at each start. A process that was replaced is a new
// member, and a record with the same control address and a later start time
// proves the earlier process dead at once.
//
// Members that were declared dead are probed now and then for an hour, so that
// the halves of a mesh that was cut apart find each other again.
//
// One idea comes from Lifeguard (Dadgar, Phillips, Currey, 2017) and is kept
// because docs/design/membership.md shows what it brings: a suspected member is
// told so when it sends a message.
//
// The package owns the list of one process, in memory. Machine is a state machine without
// I/O, goroutines or clock: plugin/membership passes the time and the messages in, and sends
// what Tick returns:
//
//	for each tick:       sends := machine.Tick(now)
//	for each request:    reply := machine.Receive(now, message)
//	for each send made:  machine.Replied(now, send, reply) or machine.Failed(now, send)
package membership
