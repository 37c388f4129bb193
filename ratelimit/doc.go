// Package ratelimit keeps the requests to a back end within the rate limit that it declares:
// the requests a second that it takes from all processes together.
//
// The node beside a back end is the only process that sends requests to it. Its Limiter learns
// the limit from the answers of the back end (Declaration) and paces the requests (Take), so
// that the limit holds for all processes together without any message between them. A node that
// was restarted has forgotten the limit; the processes that send it calls tell it what it had
// reported to them (Limiter.Recall).
//
// Share is the part of a limit that one of several callers of a node should use, so that few
// calls are refused there while other back ends of the service have room.
//
// The package owns these rules and their constants. It does no I/O and reads no clock, and it
// depends on no other part of the mesh. Plug-in forward feeds the Limiter, package admission asks
// it before it starts a request, plug-in ratelimit announces the limit, and package balance uses
// Share.
package ratelimit
