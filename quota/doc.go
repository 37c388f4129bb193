// Package quota enforces the request quotas of tenants across all processes of a mesh.
//
// Each process has a Limiter, which admits or refuses the requests that enter the mesh at that
// process and counts them. One process is the coordinator and runs a Coordinator: every
// process reports to it the requests that it admitted and was offered, and receives the
// tenants that are near their quota and the share of their requests to admit. Any process can
// become the coordinator at any time, since a Coordinator rebuilds its state from reports.
//
// Most tenants are far from their quota most of the time. A process therefore admits requests
// without asking, as long as few of them are unreported; a tenant that sends many requests
// causes more frequent reports. The overshoot that Config allows covers the requests admitted
// between two reports.
//
// No request waits for a message. A process whose reports are not answered limits each tenant
// to an equal share of its quota, and a Coordinator distributes only the shares of the
// processes that report to it. The shares in use therefore never add up to more than one
// quota, even if the mesh is partitioned or two processes act as coordinator.
//
// The package holds the counters of one process in memory and the rules. It does no I/O and
// reads no clock: plugin/quota sends the reports, counts the processes and passes the time.
package quota
