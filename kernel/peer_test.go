package kernel

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/transport/lingering"
)

// TestCallerCloseIsDetected guards against requests that keep running after their caller
// has closed the connection, which the bytes of a second request hide from Go's server.
func TestCallerCloseIsDetected(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, parts := range map[string][2]string{
		"in one piece":              {request + request, ""},
		"while the first is served": {request, request},
		"one byte of the second":    {request, request[:1]},
		"no second request":         {request, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started, detected := make(chan struct{}), make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				closed := make(chan struct{})
				stop := watchPeer(r, func() { close(closed) })
				defer stop()
				close(started)
				select {
				case <-closed:
				case <-r.Context().Done():
				}
				close(detected)
			}))
			server.Config.ConnContext = withConnection
			server.Listener = callerListener{Listener: lingering.Listener{Listener: server.Listener}}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(conn, parts[0])
			is.NoErr(err)
			<-started
			_, err = io.WriteString(conn, parts[1])
			is.NoErr(err)
			select {
			case <-detected:
				t.Fatal("close detected before the caller closed the connection")
			default:
			}
			is.NoErr(conn.Close())
			<-detected
		})
	}
}
