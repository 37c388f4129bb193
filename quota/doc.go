// Package quota holds the requests of tenants within their quotas over all processes of
// a mesh together.
//
// Each process has a Ledger, which admits the requests that enter there and counts them.
// One process, the coordinator, answers with a Coordinator: all others report to it what
// they admitted and what was requested of them, and are told which tenants are near their
// quota and which share of their requests to admit. Any process can take the role at any
// time, since a Coordinator needs nothing but reports.
//
// Most tenants are far from their quota most of the time. So a process admits what is
// requested, as long as little of it is unreported; a tenant that sends much makes
// reports more frequent by itself. What is admitted between two reports is covered by
// the overshoot that a Config allows.
//
// No request waits for a message. A process that is not answered keeps to an equal share of
// each quota, and a Coordinator gives out the shares of the processes that report to it and
// no others. So the shares in use add up to one quota however the mesh is cut, also while
// two processes take the role.
//
// The package owns the counts of one process and the rules, in memory. It does no I/O and
// reads no clock: plugin/quota carries the reports, counts processes and passes the time.
package quota
