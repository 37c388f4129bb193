// Package exchange is the client side of HTTP/1.1: it keeps connections and
// exchanges one request for one answer on each at a time.
//
// It stands in the place of http.Transport for forwarded requests, for two
// reasons. That transport sends a request again by itself when a connection
// that was idle turns out to be closed, which could run a request twice. And it
// hands each request from goroutine to goroutine, one that writes and one that
// reads for each connection; here the goroutine that serves a request writes it
// and reads its answer itself. Encoding and decoding are those of net/http.
//
// A request is written at most once. The only exception is one of which no byte
// has left, on a connection that was kept from an earlier request: it goes out on
// another connection.
package exchange
