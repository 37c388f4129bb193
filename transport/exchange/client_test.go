package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/clock/clocktest"
	"github.com/loomcleat/loomcleat/transport/responsecheck"
)

// exchangeTimeout bounds each exchange.
const exchangeTimeout = 10 * time.Second

// testServer is a server that handles each connection with a function and counts
// connections.
type testServer struct {
	address     string
	connections atomic.Int64
}

func startServer(t *testing.T, serve func(net.Conn, *bufio.Reader)) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &testServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.connections.Add(1)
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return p
}

// respondToEach responds to every request of a connection with the same text.
func respondToEach(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

func newRequest(method, body string) *http.Request {
	request := &http.Request{
		Method: method, URL: &url.URL{Path: "/x"}, Host: "service", Header: http.Header{},
		Body: http.NoBody, ContentLength: int64(len(body)),
	}
	if body != "" {
		request.Body = io.NopCloser(strings.NewReader(body))
	}
	return request
}

func newTestClient() *Client {
	return NewClient(Config{MaximumIdle: 2, IdleTimeout: time.Minute, DialTimeout: time.Second})
}

// read makes one exchange and reads the complete response.
func read(t *testing.T, client *Client, address string, request *http.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
	defer cancel()
	response, err := client.Do(ctx, address, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestConnectionReuse guards against reusing a connection on which leftover bytes
// could be taken for the next response.
func TestConnectionReuse(t *testing.T) {
	cases := []struct {
		name, method, answer, body string
		connections                int64 // for two requests
	}{
		{"known length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 1},
		{"chunked body", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 1},
		{"empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 1},
		{"no body", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", 1},
		{"response to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", 1},
		{"interim response", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 1},
		{"server closes", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", 2},
		{"surplus after body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", "ok", 2},
		{"surplus after empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore", "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := startServer(t, respondToEach(c.answer))
			client := newTestClient()
			defer client.Close()
			for range 2 {
				body, err := read(t, client, server.address, newRequest(c.method, ""))
				is.NoErr(err)
				is.Equal(body, c.body)
			}
			is.Equal(server.connections.Load(), c.connections)
		})
	}
}

// TestSurplusOnIdleConnection guards against reading bytes that arrived on an idle
// connection as the response to the next request.
func TestSurplusOnIdleConnection(t *testing.T) {
	is := is.New(t)
	surplus := make(chan struct{})
	server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-surplus
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		surplus <- struct{}{}
		<-surplus // keeps the connection open
	})
	client := newTestClient()
	defer client.Close()
	defer close(surplus)
	_, err := read(t, client, server.address, newRequest("GET", ""))
	is.NoErr(err)
	surplus <- struct{}{}
	<-surplus
	good := startServer(t, respondToEach("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"))
	// New connections go to the good server, so its response shows that the pooled
	// connection was not reused.
	client.dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, good.address)
	}
	for { // the surplus may not have arrived yet
		body, err := read(t, client, server.address, newRequest("GET", ""))
		is.NoErr(err)
		if body == "good" {
			return
		}
		is.True(body != "wrong")
	}
}

// TestUnreadResponseClosesConnection guards against using a connection again after its caller has
// rejected the response, as one to another request, without reading it.
func TestUnreadResponseClosesConnection(t *testing.T) {
	for name, answer := range map[string]string{
		"empty body": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"no body":    "HTTP/1.1 204 No Content\r\n\r\n",
		"body":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startServer(t, respondToEach(answer))
			client := newTestClient()
			defer client.Close()
			for want := range int64(2) {
				response, err := client.Do(t.Context(), server.address, newRequest("GET", ""))
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(server.connections.Load(), want+1)
			}
		})
	}
}

// TestNewConnection guards against sending a request on a connection that carried another one,
// whose late response could be read as its own, and against a growing number of connections.
func TestNewConnection(t *testing.T) {
	is := is.New(t)
	server := startServer(t, respondToEach("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	client := newTestClient()
	defer client.Close()
	for want := range int64(3) {
		response, err := client.DoOnNewConnection(t.Context(), server.address, newRequest("GET", ""))
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
		is.Equal(server.connections.Load(), want+1)
		is.Equal(len(client.idle.byAddress[server.address]), 1)
	}
	_, err := read(t, client, server.address, newRequest("GET", ""))
	is.NoErr(err)
	is.Equal(server.connections.Load(), int64(3)) // the last one is reused
}

func TestFailures(t *testing.T) {
	cases := []struct {
		name, answer string
		inBody       bool // the failure occurs while the body is read
	}{
		{"no response", "", false},
		{"not HTTP", "nonsense\r\n\r\n", false},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-Le", false},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", true},
		{"head too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*responsecheck.MaximumHead), false},
		{"too many interim responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2*responsecheck.MaximumInterim), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, c.answer)
			})
			client := newTestClient()
			defer client.Close()
			_, err := read(t, client, server.address, newRequest("GET", ""))
			is.True(err != nil)
			var failed *Error
			is.Equal(errors.As(err, &failed), !c.inBody)
			if failed != nil {
				is.True(failed.Wrote) // the request was written
			}
		})
	}
}

// TestBodyErrorPersists guards against a read after an error that returns io.EOF,
// which would make a truncated body look complete.
func TestBodyErrorPersists(t *testing.T) {
	is := is.New(t)
	server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	})
	response, err := newTestClient().Do(t.Context(), server.address, newRequest("GET", ""))
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	_, err = response.Body.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, io.EOF))
	is.NoErr(response.Body.Close())
}

// TestConnectionRefused guards against reporting an unsent request as written,
// which would forbid a retry.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	_, err = read(t, newTestClient(), listener.Addr().String(), newRequest("GET", ""))
	var failed *Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Wrote)
}

// TestContextEndClosesConnection guards against leaving the connection open when
// the context ends before the response or while its body is read.
func TestContextEndClosesConnection(t *testing.T) {
	for name, answer := range map[string]string{
		"before response": "",
		"in body":         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begun, closed := make(chan struct{}), make(chan struct{})
			server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, answer)
				close(begun)
				_, _ = reader.ReadByte()
				close(closed)
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := newTestClient()
			if answer == "" {
				go func() {
					<-begun
					cancel()
				}()
			}
			response, err := client.Do(ctx, server.address, newRequest("GET", ""))
			if answer != "" {
				is.NoErr(err)
				cancel()
				_, err = io.ReadAll(response.Body)
			}
			is.True(err != nil)
			<-closed
		})
	}
}

// TestResponseBeforeRequestBodyEnds guards against waiting for the rest of a
// request body once the response has arrived, and against reusing the connection
// on which that rest is still to be written.
func TestResponseBeforeRequestBodyEnds(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")
		<-hold
	})
	defer close(hold)
	client := newTestClient()
	defer client.Close()
	for range 2 {
		source, writer := io.Pipe() // the body never ends
		defer writer.Close()
		request := newRequest("POST", "")
		request.Body, request.ContentLength = source, -1
		body, err := read(t, client, server.address, request)
		is.NoErr(err)
		is.Equal(body, "no")
	}
	is.Equal(server.connections.Load(), int64(2))
}

// TestResponseBeforeServerCloses guards against losing a response that the server
// sends before it closes the connection in the middle of a long request.
func TestResponseBeforeServerCloses(t *testing.T) {
	is := is.New(t)
	server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, reader)
	})
	long := strings.Repeat("x", 1<<20)
	body, err := read(t, newTestClient(), server.address, newRequest("POST", long))
	is.NoErr(err)
	is.Equal(body, "no")
}

// TestRequestBodies guards against truncated request bodies, short and long, of
// known and unknown length.
func TestRequestBodies(t *testing.T) {
	for _, size := range []int{1, maximumInlineBody, maximumInlineBody + 1, 1 << 20} {
		for _, known := range []bool{true, false} {
			is := is.New(t)
			received := make(chan []byte, 1)
			server := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				content, _ := io.ReadAll(request.Body)
				received <- content
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			})
			sent := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			request := newRequest("POST", string(sent))
			if !known {
				request.ContentLength = -1
			}
			_, err := read(t, newTestClient(), server.address, request)
			is.NoErr(err)
			is.True(bytes.Equal(<-received, sent))
		}
	}
}

// TestIdleTimeout guards against keeping a connection beyond the shorter of the
// configured timeout and the server's keep-alive timeout.
func TestIdleTimeout(t *testing.T) {
	cases := []struct {
		name      string
		timeout   time.Duration
		keepAlive string
		lifetime  time.Duration
	}{
		{"configured", time.Minute, "", time.Minute},
		{"shorter keep-alive", time.Minute, "timeout=10, max=5", 8 * time.Second},
		{"longer keep-alive", time.Minute, "timeout=600", time.Minute},
		{"malformed keep-alive", time.Minute, "timeout=soon", time.Minute},
		{"none", 0, "", unlimitedLifetime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &pool{maximumIdle: 1, timeout: c.timeout, byAddress: map[string][]*conn{}}
			header := http.Header{}
			if c.keepAlive != "" {
				header.Set("Keep-Alive", c.keepAlive)
			}
			near, far := net.Pipe()
			defer far.Close()
			kept := &conn{Conn: near, address: "a"}
			before := clock.Now()
			p.put(kept, keepAliveTimeout(header))
			is.True(kept.expires.Sub(before).Round(time.Second) == c.lifetime)
		})
	}
}

func TestExpiredAndSurplusConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	p := &pool{maximumIdle: 2, timeout: time.Minute, byAddress: map[string][]*conn{}}
	var ends []net.Conn
	for range 3 {
		near, far := net.Pipe()
		ends = append(ends, far)
		p.put(&conn{Conn: near, address: "a"}, 0)
	}
	is.Equal(len(p.byAddress["a"]), 2)
	_, err := ends[2].Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the pool was full
	p.byAddress["a"][0].expires = clock.Now().Add(-time.Second)
	p.sweep()
	is.Equal(len(p.byAddress["a"]), 1)
	_, err = ends[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(p.take("a") != nil)
	is.True(p.take("a") == nil)
}

// TestConnectionsExpireDuringSuspension guards against reusing a connection that the
// server closed while this machine was suspended.
func TestConnectionsExpireDuringSuspension(t *testing.T) {
	is := is.New(t)
	p := &pool{maximumIdle: 2, timeout: time.Minute, byAddress: map[string][]*conn{}}
	near, far := net.Pipe()
	defer far.Close()
	p.put(&conn{Conn: near, address: "a"}, 0)
	now := clock.Now().Add(2 * time.Minute)
	defer clocktest.Replace(func() clock.Instant { return now })()
	is.True(p.take("a") == nil)
}
