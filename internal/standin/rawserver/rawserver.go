// Package rawserver is a server for tests that answers requests with bytes of their choice, also with
// such that are no HTTP response. It owns its connections until the test ends.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Answer answers a request by writing to its connection. It reports whether another request may follow;
// otherwise the connection is closed. The body of the request is unread.
type Answer func(conn *net.TCPConn, request *http.Request) (another bool)

// Start starts a server that ends with the test, and returns its address.
func Start(t testing.TB, answer Answer) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), answer)
		}
	}()
	return listener.Addr().String()
}

func serve(conn *net.TCPConn, answer Answer) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !answer(conn, request) {
			return
		}
	}
}
