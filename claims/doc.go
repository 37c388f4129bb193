// Package claims makes sure that a request that may not be repeated runs at
// most once in the mesh, without a disk and without asking the platform's store
// for each request.
//
// Keys are spread over a fixed number of groups. Each group has a few replicas:
// processes, in different zones, that remember which keys were claimed. Before
// a request runs, the process that wants to run it (the runner) asks all
// replicas of the key's group for a claim. A replica grants a key to the first
// runner that asks and to no other. With grants of a majority, the request
// runs. Two majorities of one group share a replica, so no key is ever granted
// to two runners. Without a majority, the request is refused and did not run.
//
// Which processes form a group is written in a Groups document in the store,
// changed only by compare-and-swap and numbered by epochs. It changes when
// replicas fail or leave; it is not read for each request, so an outage of the
// store stops changes of groups, not requests.
//
// # Change of epoch
//
// A replica that learns of an epoch never votes at an earlier one again (it is
// fenced). Before it votes at epoch e+1, it collects the claims of a majority
// of the replicas of epoch e, each fenced by then. A claim that a majority
// granted at epoch e is among them: the two majorities share a replica, which
// granted before it was fenced and so hands the claim over. Hence every replica
// that votes at e+1 knows every claim decided at e. The rule needs nothing of
// clocks: a replica that was paused, cut off or removed can only grant at an
// old epoch, where it no longer finds a majority.
//
// # Loss of a majority
//
// When a majority of a group is gone at once, its claims may be lost. Then
// nothing runs: requests are refused. Once the platform's machine list confirms
// that the lost replicas are gone, the group starts anew after the retention
// time, in which every claim that was lost has expired.
//
// # Retention
//
// Claims are forgotten after the retention time. The promise holds for that
// long after a request was first sent. A runner that was paused between claim
// and run checks the age of its claim before it runs.
//
// The types here do no I/O and take the time as an argument.
package claims
