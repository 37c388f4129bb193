// Package admission decides which requests are served when more arrive than can be.
//
// Each request has a priority from 0 to MaximumPriority: its class, then a hash
// of the user request's identity (Priority). All processes compute the same
// priority for the same user request, so that they keep and drop the same
// ones; work for a request is not wasted by dropping it at the next hop.
//
// Controller decides beside a back end, for plug-in admission. It joins these parts, a
// file each:
//
//   - limit.go: an adaptive limit of requests in flight. It follows the time that
//     the back end itself takes, without the time that it waits for calls of
//     its own, so that a slow service further down does not shrink the limits
//     above it.
//   - queue.go: a short queue. When a slot is free, the request of the highest class is
//     served, within it committed ones, the highest priority and the newest first.
//   - patience.go: how long a request may wait, and when it is too late for it.
//   - uncommitted.go: the share that requests keep for which no service has worked yet.
//   - level.go: a level. Requests below it are refused without queueing. It rises so
//     far that what is still admitted fits, and falls when there is room.
//
// The level travels back with each answer; processes nearer to the caller
// refuse what would be refused further down (see package balance). Levels that
// travel upstream follow DAGOR (Zhou et al., SoCC 2018).
//
// Gate decides where requests of callers outside the mesh enter, for plug-in shed: which
// share of a route is admitted (gate.go), by the pressure that its requests met
// (pressure.go), and who goes first (rank.go).
//
// The package owns these rules and their constants, and relies on nothing of the mesh. All
// types take the time as an argument and do no I/O. Controller is safe for concurrent use.
package admission
