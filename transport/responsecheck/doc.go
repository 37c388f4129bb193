// Package responsecheck decides which bytes of a server are an HTTP/1.1 response, by RFC 9110 and RFC
// 9112.
//
// Go's reader of responses accepts more than these documents do. A Checker sees all bytes before it,
// without changing or storing them, and ends the connection at the first one that belongs to no
// valid response. docs/DECISIONS.md lists what is accepted and refused.
//
// The package does no I/O and reads no clock. It relies on its callers to stop at an error, and to
// close the connection.
package responsecheck
