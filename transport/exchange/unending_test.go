package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/transport/responsecheck"
)

// sendWithoutEnd sends a text and then another one again and again, until the client closes.
func sendWithoutEnd(begin, repeated string, closed chan<- struct{}) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		defer func() { closed <- struct{}{} }()
		_, _ = http.ReadRequest(reader)
		_, err := io.WriteString(conn, begin)
		for err == nil {
			_, err = io.WriteString(conn, repeated)
		}
	}
}

// TestBytesWithoutEndCloseConnection guards against reading bytes that are no response for as long as
// a server sends them, and against keeping the connection open.
func TestBytesWithoutEndCloseConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 4000)
	cases := []struct{ name, begin, repeated string }{
		{"status line", "", long},
		{"status line that begins well", "HTTP/1.1 200 ", long},
		{"one field", ok, long},
		{"long fields", ok, "X: " + long + "\r\n"},
		{"short fields", ok, strings.Repeat("X:\r\n", 800)},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: " + long + "\r\n\r\n"},
		{"extension of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n4;", long},
		{"extensions of chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + long[:1000] + "\r\nx\r\n"},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + long + "\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{}, 1)
			server := startServer(t, sendWithoutEnd(c.begin, c.repeated, closed))
			_, err := read(t, newTestClient(), server.address, newRequest("GET", ""))
			is.True(err != nil)
			is.True(!errors.Is(err, context.DeadlineExceeded))
			<-closed
		})
	}
}

// TestContentWithoutEndEndsWithContext guards against a connection that stays open after the time of
// its request, while the server sends content without end.
func TestContentWithoutEndEndsWithContext(t *testing.T) {
	for name, begin := range map[string]string{
		"until close": "HTTP/1.1 200 OK\r\n\r\n",
		"one chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n",
		"by length":   "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{}, 1)
			server := startServer(t, sendWithoutEnd(begin, strings.Repeat("x", 4000), closed))
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			response, err := newTestClient().Do(ctx, server.address, newRequest("GET", ""))
			is.NoErr(err)
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			is.True(err != nil)
			<-closed
		})
	}
}

// TestErrorNamesInvalidBytes guards against an error that says only that a connection has ended.
func TestErrorNamesInvalidBytes(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\n" + strings.Repeat("X: y\r\n", 600) + "X Y: z\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n",
	} {
		is := is.New(t)
		server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, answer)
		})
		_, err := read(t, newTestClient(), server.address, newRequest("GET", ""))
		var invalid *responsecheck.Error
		is.True(errors.As(err, &invalid))
	}
}
