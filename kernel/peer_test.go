package kernel

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestACallerThatLeavesIsNoticedBehindAPipelinedRequest: the bytes of a second
// request keep Go's server from seeing that the caller has closed, when they
// come after the first request has begun. Both ways of noticing together must
// see it in either case.
func TestACallerThatLeavesIsNoticedBehindAPipelinedRequest(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, parts := range map[string][2]string{
		"in one piece":                 {request + request, ""},
		"while the first is served":    {request, request},
		"a byte of it":                 {request, request[:1]},
		"nothing behind the first one": {request, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begun, noticed := make(chan struct{}), make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				gone := make(chan struct{})
				stop := watchPeer(r, func() { close(gone) })
				defer stop()
				close(begun)
				select {
				case <-gone:
				case <-r.Context().Done():
				}
				close(noticed)
			}))
			server.Config.ConnContext = withConnection
			server.Listener = callerListener{Listener: server.Listener}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(conn, parts[0])
			is.NoErr(err)
			<-begun
			_, err = io.WriteString(conn, parts[1])
			is.NoErr(err)
			select {
			case <-noticed:
				t.Fatal("the caller is still there")
			default:
			}
			is.NoErr(conn.Close())
			<-noticed
		})
	}
}
