package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// interimResponse comes before a final response.
const interimResponse = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"

// cutHeads are heads of responses with each way to tell the end of the content.
var cutHeads = map[string]string{
	"until close":       "HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	"until close, bare": "HTTP/1.1 200 OK\nX: y\n\r\n",
	"empty":             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"length":            "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"no content":        "HTTP/1.1 204 No Content\r\n\r\n",
	"no fields":         "HTTP/1.1 200 OK\r\n\r\n",
	"after an interim":  interimResponse + "HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
}

// cutEnds are the ways in which a server ends a connection.
var cutEnds = map[string]func(net.Conn){
	"close":      func(conn net.Conn) { _ = conn.Close() },
	"half-close": func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() },
	"reset":      abort,
	"reset later": func(conn net.Conn) {
		time.Sleep(2 * time.Millisecond)
		abort(conn)
	},
}

// TestCutHeadIsNoResponse guards against the beginning of a head, at whose end the connection ended, that is
// taken for a whole response with an empty content.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range cutHeads {
		for end, finish := range cutEnds {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
					if _, err := reader.Peek(1); err != nil {
						return
					}
					_, _ = io.WriteString(conn, head[:cut.Load()])
					finish(conn)
					_, _ = io.Copy(io.Discard, reader) // until the client closes
				})
				for sent := range len(head) {
					cut.Store(int64(sent))
					if response, err := newTestClient().Do(t.Context(), server.address, newRequest("GET", "")); err == nil {
						_ = response.Body.Close()
						t.Errorf("%q is a response of status %d", head[:sent], response.StatusCode)
					}
				}
			})
		}
	}
}

// TestHeadInPiecesIsRead guards against a head that is refused since its last bytes come one by one.
func TestHeadInPiecesIsRead(t *testing.T) {
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := head
			switch name {
			case "length":
				text += "twelve bytes"
			case "chunks":
				text += "2\r\nok\r\n0\r\n\r\n"
			}
			server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := reader.Peek(1); err != nil {
					return
				}
				for i := range len(text) {
					_, _ = fmt.Fprint(conn, text[i:i+1])
					time.Sleep(100 * time.Microsecond)
				}
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, reader)
			})
			if _, err := read(t, newTestClient(), server.address, newRequest("GET", "")); err != nil {
				t.Error(err)
			}
		})
	}
}
