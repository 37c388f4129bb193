// Package admission decides which requests are served when more arrive than can be
// served.
//
// Each request has a priority from 0 to MaximumPriority, derived from its class and a
// hash that identifies the user request (Priority). All processes compute the same
// priority for the same user request. They therefore tend to keep and refuse the same
// ones, and work is rarely wasted on a request that the next hop refuses.
//
// Controller decides for one back end (plug-in admission). It never admits more requests than
// the rate limit that the back end declared (package ratelimit). It combines:
//
//   - limit.go: an adaptive limit on requests in flight. It follows the back end's own
//     time, which excludes the time spent waiting for calls to other services, so that a
//     slow service downstream does not shrink the limits of its callers.
//   - queue.go: a short queue. A free slot goes to the request of the highest class;
//     within a class, requests with upstream work go first, then the highest priority,
//     then the newest.
//   - queuetime.go: how long a request may wait, and when it is too late to serve it.
//   - reserved.go: the share of the slots that is reserved for requests without upstream
//     work.
//   - level.go: the admission level. Requests of a lower priority are refused without
//     queueing. The level rises until the remaining requests fit, and falls when slots
//     are free.
//
// Each answer carries the level, so that upstream processes can refuse a request that
// would be refused downstream (package balance). Propagating levels upstream follows
// DAGOR (Zhou et al., SoCC 2018).
//
// Gate decides for requests that enter the mesh from outside (plug-in shed). It sets the
// share of a route's requests that is admitted (gate.go) from the pressure that earlier
// requests of the route met (pressure.go). The order among requests is their rank
// (rank.go).
//
// The package owns these rules and their constants, and depends on package ratelimit only. All
// types take the time as an argument and do no I/O. Controller is safe for concurrent use.
package admission
