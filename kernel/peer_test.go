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
// request keep Go's server from seeing that the caller has closed.
func TestACallerThatLeavesIsNoticedBehindAPipelinedRequest(t *testing.T) {
	is := is.New(t)
	begun, noticed := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		gone := make(chan struct{})
		stop := watchPeer(r, func() { close(gone) })
		defer stop()
		close(begun)
		<-gone
		close(noticed)
	}))
	server.Config.ConnContext = withConnection
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err = io.WriteString(conn, request+request)
	is.NoErr(err)
	<-begun
	select {
	case <-noticed:
		t.Fatal("the caller is still there")
	default:
	}
	is.NoErr(conn.Close())
	<-noticed
}
