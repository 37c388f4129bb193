// Package admission decides which requests a back end gets when more arrive
// than it can serve.
//
// Each request has a priority from 0 to MaximumPriority: its class, then a hash
// of the user request's identity (Priority). All processes compute the same
// priority for the same user request, so that they keep and drop the same
// ones; work for a request is not wasted by dropping it at the next hop.
//
// Controller joins three parts:
//
//   - An adaptive limit of requests in flight (Limit). It follows the time that
//     the back end itself takes, without the time that it waits for calls of
//     its own, so that a slow service further down does not shrink the limits
//     above it.
//   - A short queue. When a place is free, the request with the highest
//     priority is served, and among equals the newest, since it has the most
//     time left. What cannot finish in time is refused at once.
//   - A level. Requests below it are refused without queueing. It rises so
//     far that what is still admitted fits, and falls when there is room.
//
// The level travels back with each answer; processes nearer to the caller
// refuse what would be refused further down (see package balance). Levels that
// travel upstream follow DAGOR (Zhou et al., SoCC 2018).
//
// All types take the time as an argument and do no I/O. Controller is safe for
// concurrent use.
package admission
