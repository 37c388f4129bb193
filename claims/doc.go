// Package claims makes a request that must not be repeated run at most once in
// the mesh, without disk writes and without a call to the platform's store for
// each request.
//
// Keys are hashed into a fixed number of groups. Each group has a few replicas:
// processes, in different zones, that remember which keys were claimed. Before
// a request runs, the process that wants to run it (the runner) sends a claim to
// all replicas of the key's group. A replica grants a key to the first runner
// that claims it and to no other. The request runs once a majority has granted
// the claim. Two majorities of one group share a replica, so no key is ever
// granted to two runners. Without a majority, the request is refused and does
// not run.
//
// A Groups document in the store lists the replicas of each group. It changes
// only by compare-and-swap, and each change of a group starts a new epoch of the
// group. It changes when replicas fail or leave; it is not read for each
// request, so a store outage blocks changes of groups but no requests.
//
// # Change of epoch
//
// A replica that has adopted an epoch never votes at an earlier one again (it is
// fenced). Before it votes at epoch e+1, it collects the claims of a majority
// of the replicas of epoch e, each of which is fenced before it hands them over.
// A claim that a majority granted at epoch e is among them: the two majorities
// share a replica, and that replica granted the claim before it was fenced.
// Hence every replica that votes at e+1 knows every claim decided at e. The rule
// does not depend on clocks: a replica that was paused, partitioned or removed
// can only grant at an old epoch, which no longer has a majority.
//
// # Loss of a majority
//
// When a majority of a group fails at once, its claims may be lost. The group
// then refuses all requests. Once the platform's machine list confirms that the
// lost replicas are gone, the group restarts without claims and votes again after
// the retention time, when every lost claim has expired.
//
// # Retention
//
// Claims are deleted after the retention time, so the guarantee holds for that
// long after a request was first sent. A runner that was paused between claim
// and run checks the age of its claim before it runs.
//
// The package owns the claims that one process holds, in memory. Its types do no
// I/O and take the time as an argument; plugin/once sends the messages.
package claims
