// Package exchange is an HTTP/1.1 client for forwarded requests. It owns a pool
// of idle connections and runs one request at a time on each connection.
// Requests and responses are encoded and decoded by net/http; package responsecheck
// decides before which bytes are a response, and package socket tells whether the end
// of a connection is an orderly one.
//
// It replaces http.Transport for two reasons. http.Transport resends a request
// by itself when a reused connection turns out to be closed, which could execute
// the request twice. It also has a reading and a writing goroutine for each
// connection; here the goroutine that serves a request writes it and reads the
// response itself.
//
// A request is sent again only if no byte of it was written and the connection
// was a reused one; it then goes out on another connection.
package exchange
