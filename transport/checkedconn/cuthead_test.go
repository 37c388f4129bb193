package checkedconn

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/loomcleat/loomcleat/internal/standin/rawserver"
)

// TestCutHeadIsNoResponse guards against the beginning of a head, at whose end the connection ended, that is
// taken for a whole response: a store would seem to have no such key, or to have done a write.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
		"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	} {
		var cut atomic.Int64
		address := rawserver.Start(t, func(conn *net.TCPConn, request *http.Request) bool {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, head[:cut.Load()])
			return false
		})
		for sent := range len(head) {
			cut.Store(int64(sent))
			if _, err := fetch(newClient(t), address, "request"); err == nil {
				t.Errorf("%q is a response", head[:sent])
			}
		}
	}
}
