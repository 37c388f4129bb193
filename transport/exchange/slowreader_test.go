package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEarlyResponseIsReadSlowly guards against a response that breaks off for a caller that reads it slowly, since
// its server has closed the connection with a part of the request unread: all of it has arrived.
func TestEarlyResponseIsReadSlowly(t *testing.T) {
	is := is.New(t)
	const size = 64 << 10
	server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		readUpload(t, reader, uploadStep)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Too Long\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		time.Sleep(10 * time.Millisecond) // the response arrives before the reset
		_ = conn.Close()
	})
	response, err := newTestClient().Do(t.Context(), server.address, newUpload())
	is.NoErr(err)
	defer response.Body.Close()
	time.Sleep(3 * finalReadTimeout)
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(content), size)
}
