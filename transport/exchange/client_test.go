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
)

// patience bounds each test.
const patience = 10 * time.Second

// peer is the other side of a test: it serves each connection with a function and
// counts connections.
type peer struct {
	address     string
	connections atomic.Int64
}

func startPeer(t *testing.T, serve func(net.Conn, *bufio.Reader)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &peer{address: listener.Addr().String()}
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

// answerEach answers every request of a connection with the same text.
func answerEach(text string) func(net.Conn, *bufio.Reader) {
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

// read makes one exchange and reads the answer whole.
func read(t *testing.T, client *Client, address string, request *http.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	response, err := client.Do(ctx, address, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestWhichConnectionsServeAgain: a connection is kept only when nothing of the
// exchange that it served can be taken for a part of the next one.
func TestWhichConnectionsServeAgain(t *testing.T) {
	cases := []struct {
		name, method, answer, body string
		connections                int64 // for two requests
	}{
		{"a body of known length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 1},
		{"a chunked body", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 1},
		{"an empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 1},
		{"no body", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", 1},
		{"the answer to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", 1},
		{"an answer before the final one", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 1},
		{"the other side closes", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", 2},
		{"bytes behind the answer", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", "ok", 2},
		{"bytes behind an empty answer", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore", "", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			other := startPeer(t, answerEach(c.answer))
			client := newTestClient()
			defer client.Close()
			for range 2 {
				body, err := read(t, client, other.address, newRequest(c.method, ""))
				is.NoErr(err)
				is.Equal(body, c.body)
			}
			is.Equal(other.connections.Load(), c.connections)
		})
	}
}

// TestSurplusThatComesLater: bytes that arrive while a connection is idle belong to
// no request.
func TestSurplusThatComesLater(t *testing.T) {
	is := is.New(t)
	surplus := make(chan struct{})
	other := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-surplus
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		surplus <- struct{}{}
		<-surplus // the connection stays open
	})
	client := newTestClient()
	defer client.Close()
	defer close(surplus)
	_, err := read(t, client, other.address, newRequest("GET", ""))
	is.NoErr(err)
	surplus <- struct{}{}
	<-surplus
	good := startPeer(t, answerEach("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"))
	// The pool's connection is replaced by one to the good peer: only a new
	// connection can reach it.
	client.dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, good.address)
	}
	for { // loopback delivers soon
		body, err := read(t, client, other.address, newRequest("GET", ""))
		is.NoErr(err)
		if body == "good" {
			return
		}
		is.True(body != "wrong")
	}
}

func TestFailures(t *testing.T) {
	cases := []struct {
		name, answer string
		inBody       bool // the failure comes while the body is read
	}{
		{"no answer", "", false},
		{"bytes that are no answer", "nonsense\r\n\r\n", false},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", false},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", true},
		{"an endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maximumHead), false},
		{"interim answers without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2*maximumInterim), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			other := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(conn, c.answer)
			})
			client := newTestClient()
			defer client.Close()
			_, err := read(t, client, other.address, newRequest("GET", ""))
			is.True(err != nil)
			var failed *Error
			is.Equal(errors.As(err, &failed), !c.inBody)
			if failed != nil {
				is.True(failed.Wrote) // it may have run
			}
		})
	}
}

// TestAFailedBodyStaysFailed: a second read must not look like the end.
func TestAFailedBodyStaysFailed(t *testing.T) {
	is := is.New(t)
	other := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	})
	response, err := newTestClient().Do(t.Context(), other.address, newRequest("GET", ""))
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	_, err = response.Body.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, io.EOF))
	is.NoErr(response.Body.Close())
}

// TestNobodyThere: nothing was written, so that nothing can have run.
func TestNobodyThere(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	_, err = read(t, newTestClient(), listener.Addr().String(), newRequest("GET", ""))
	var failed *Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Wrote)
}

// TestTheEndOfTheContextClosesTheConnection, before the answer and in its midst.
func TestTheEndOfTheContextClosesTheConnection(t *testing.T) {
	for name, answer := range map[string]string{
		"before the answer": "",
		"in the body":       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begun, closed := make(chan struct{}), make(chan struct{})
			other := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
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
			response, err := client.Do(ctx, other.address, newRequest("GET", ""))
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

// TestAnAnswerBeforeALongBodyWasRead is delivered, and the connection serves no
// other request: the rest of the body is still due on it.
func TestAnAnswerBeforeALongBodyWasRead(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	other := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno")
		<-hold
	})
	defer close(hold)
	client := newTestClient()
	defer client.Close()
	for range 2 {
		source, writer := io.Pipe() // a caller that never sends the rest
		defer writer.Close()
		request := newRequest("POST", "")
		request.Body, request.ContentLength = source, -1
		body, err := read(t, client, other.address, request)
		is.NoErr(err)
		is.Equal(body, "no")
	}
	is.Equal(other.connections.Load(), int64(2))
}

// TestAnAnswerBeforeTheConnectionBroke is delivered although the request could not
// be written whole.
func TestAnAnswerBeforeTheConnectionBroke(t *testing.T) {
	is := is.New(t)
	other := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, reader)
	})
	long := strings.Repeat("x", 1<<20)
	body, err := read(t, newTestClient(), other.address, newRequest("POST", long))
	is.NoErr(err)
	is.Equal(body, "no")
}

// TestBodiesArriveWhole, short and long, of known and unknown length.
func TestBodiesArriveWhole(t *testing.T) {
	for _, size := range []int{1, writtenAtOnce, writtenAtOnce + 1, 1 << 20} {
		for _, known := range []bool{true, false} {
			is := is.New(t)
			received := make(chan []byte, 1)
			other := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
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
			_, err := read(t, newTestClient(), other.address, request)
			is.NoErr(err)
			is.True(bytes.Equal(<-received, sent))
		}
	}
}

// TestIdleConnectionsEnd at the earlier of both sides' times.
func TestIdleConnectionsEnd(t *testing.T) {
	cases := []struct {
		name      string
		timeout   time.Duration
		keepAlive string
		lifetime  time.Duration
	}{
		{"by the own time", time.Minute, "", time.Minute},
		{"by the other side's time", time.Minute, "timeout=10, max=5", 8 * time.Second},
		{"a longer time of the other side", time.Minute, "timeout=600", time.Minute},
		{"nonsense", time.Minute, "timeout=soon", time.Minute},
		{"neither", 0, "", forever},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &pool{most: 1, timeout: c.timeout, byAddress: map[string][]*conn{}}
			header := http.Header{}
			if c.keepAlive != "" {
				header.Set("Keep-Alive", c.keepAlive)
			}
			near, far := net.Pipe()
			defer far.Close()
			kept := &conn{Conn: near, address: "a"}
			before := clock.Now()
			p.put(kept, keepAliveOf(header))
			is.True(kept.expires.Sub(before).Round(time.Second) == c.lifetime)
		})
	}
}

func TestExpiredAndSurplusConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	p := &pool{most: 2, timeout: time.Minute, byAddress: map[string][]*conn{}}
	var ends []net.Conn
	for range 3 {
		near, far := net.Pipe()
		ends = append(ends, far)
		p.put(&conn{Conn: near, address: "a"}, 0)
	}
	is.Equal(len(p.byAddress["a"]), 2)
	_, err := ends[2].Read(make([]byte, 1))
	is.Equal(err, io.EOF) // there was no room for it
	p.byAddress["a"][0].expires = clock.Now().Add(-time.Second)
	p.sweep()
	is.Equal(len(p.byAddress["a"]), 1)
	_, err = ends[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(p.take("a") != nil)
	is.True(p.take("a") == nil)
}

// TestConnectionsExpireDuringASuspension: the other side has closed them meanwhile, or is
// gone, and nothing has told so.
func TestConnectionsExpireDuringASuspension(t *testing.T) {
	is := is.New(t)
	p := &pool{most: 2, timeout: time.Minute, byAddress: map[string][]*conn{}}
	near, far := net.Pipe()
	defer far.Close()
	p.put(&conn{Conn: near, address: "a"}, 0)
	now := clock.Now().Add(2 * time.Minute)
	defer clocktest.Replace(func() clock.Instant { return now })()
	is.True(p.take("a") == nil)
}
