// Package membership maintains the list of processes of the mesh by gossip.
//
// The design follows SWIM (Das, Gupta, Motivala, 2002): in each interval, a process
// probes one other process, in shuffled order, so that the cost for each process
// does not grow with the mesh. A probe that fails is repeated through other
// processes. When that fails too, the member is suspected, and if it does not
// refute within a time limit, it is declared dead. A suspected member that receives
// the suspicion refutes it by raising its incarnation. Updates are carried by probes
// and by gossip messages, each of which holds a bounded number of them.
//
// Every message carries a digest of its sender's list. Where digests differ, the
// two processes compare digests of parts of their lists and exchange the parts that
// differ (anti-entropy). Updates received in bulk this way are not passed on by
// gossip; otherwise the processes of a mesh that starts all at once would send each
// record many times to all others.
//
// A process that is stopping, or whose back end is down, announces it: Leaving and
// Down are part of the record that only the member itself changes.
//
// A process gets a new id at each start, so a restarted process is a new member. A
// record with the same control address and a higher generation proves the earlier
// process dead at once.
//
// The addresses of dead members are probed occasionally until the members are
// forgotten, so that the parts of a partitioned mesh find each other again.
//
// One extension comes from Lifeguard (Dadgar, Phillips, Currey, 2017): a suspected
// member is sent the suspicion in the reply to its next message. Its effect is
// described in docs/design/membership.md.
//
// The package owns the member list of one process, in memory. Machine is a state
// machine without I/O, goroutines or clock: plugin/membership passes in the time and
// the messages, and sends what Tick returns:
//
//	for each tick:       sends := machine.Tick(now)
//	for each request:    reply := machine.Receive(now, message)
//	for each send made:  machine.Replied(now, send, reply) or machine.Failed(now, send)
package membership
