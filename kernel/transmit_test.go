package kernel

import (
	"bufio"
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
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// startClosingServer starts a server that answers the first request of each connection and
// closes the connection after it has read the second one. It counts complete requests.
func startClosingServer(t *testing.T) (address string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveAndClose(conn, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func serveAndClose(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		if answered {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
		if request.Method != http.MethodHead {
			answer += "ok"
		}
		_, _ = io.WriteString(conn, answer)
	}
}

func newTestCall(method, body string) *Call {
	return &Call{
		Method: method,
		URL:    &url.URL{Path: "/x"},
		Host:   "service",
		Header: http.Header{wire.HeaderIdempotencyKey: {"key"}},
		Body:   &Body{data: []byte(body), buffered: true, length: int64(len(body))},
	}
}

// hiddenResendCases are requests that net/http's transport resends on its own when a reused
// connection turns out to be closed.
var hiddenResendCases = []struct{ name, method string }{
	{"GET without a body", http.MethodGet},
	{"HEAD", http.MethodHead},
	{"OPTIONS", http.MethodOptions},
	{"POST without a body and with an Idempotency-Key", http.MethodPost},
	{"DELETE without a body and with an Idempotency-Key", http.MethodDelete},
}

// TestStandardTransportResends checks that the cases of TestTransmitterSendsOnce would fail
// with net/http's transport.
func TestStandardTransportResends(t *testing.T) {
	for _, c := range hiddenResendCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, requests := startClosingServer(t)
			client := &http.Client{Transport: &http.Transport{}}
			for range 2 {
				request, err := http.NewRequest(c.method, "http://"+address+"/x", nil)
				is.NoErr(err)
				request.Header.Set(wire.HeaderIdempotencyKey, "key")
				response, err := client.Do(request)
				is.NoErr(err) // the resend is hidden from the caller
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			is.Equal(requests.Load(), int64(3)) // two requests sent, three received
		})
	}
}

// TestTransmitterSendsOnce guards against a request that is executed twice because the
// transport resends it.
func TestTransmitterSendsOnce(t *testing.T) {
	for _, c := range hiddenResendCases {
		for _, body := range []string{"", "body"} {
			if body != "" && (c.method == http.MethodHead || c.method == http.MethodOptions) {
				continue
			}
			t.Run(c.name+" "+body, func(t *testing.T) {
				is := is.New(t)
				address, requests := startClosingServer(t)
				transmitter := NewTransmitter(TransmitterConfig{MaximumIdle: 1, Refused: result.NodeRefused})
				response, err := transmitter.Send(t.Context(), newTestCall(c.method, body), address, http.Header{wire.HeaderIdempotencyKey: {"key"}})
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				_, err = transmitter.Send(t.Context(), newTestCall(c.method, body), address, http.Header{wire.HeaderIdempotencyKey: {"key"}})
				is.True(err != nil)
				is.Equal(result.From(err).Code, result.ConnectionLost)
				is.True(!result.From(err).NotRun())
				is.Equal(requests.Load(), int64(2)) // each request was received once
			})
		}
	}
}

// TestTransmitterOutcomes guards against reporting a request that was sent as not run, and
// one that was not sent as possibly run.
func TestTransmitterOutcomes(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := []struct {
		name    string
		address string
		cause   error // with which the context ends; nil when the timeout passes
		code    result.Code
		notRun  bool
	}{
		{"no connection", closed.Addr().String(), nil, result.NodeRefused, true},
		{"no answer in time", silent.Addr().String(), nil, result.DeadlineExceeded, false},
		{"cancelled by the caller", silent.Addr().String(), context.Canceled, result.CallerCancelled, false},
		{"ended by the stop of the process", silent.Addr().String(), errStopping, result.Stopped, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			transmitter := NewTransmitter(TransmitterConfig{Refused: result.NodeRefused})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if c.cause != nil {
				var end context.CancelCauseFunc
				ctx, end = context.WithCancelCause(t.Context())
				time.AfterFunc(100*time.Millisecond, func() { end(c.cause) })
			}
			_, err := transmitter.Send(ctx, newTestCall(http.MethodPost, "body"), c.address, http.Header{})
			var typed *result.Error
			is.True(errors.As(err, &typed))
			is.Equal(typed.Code, c.code)
			is.Equal(typed.NotRun(), c.notRun)
		})
	}
}

func TestRemoveHopByHop(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	for _, name := range strings.Fields("Connection Keep-Alive Te Trailer Transfer-Encoding Upgrade X-Named X-Kept") {
		header.Set(name, "v")
	}
	header.Set("Connection", "close, x-named")
	wire.RemoveHopByHop(header)
	is.Equal(len(header), 1)
	is.Equal(header.Get("X-Kept"), "v")
}

// TestUnsent guards against telling a caller that it went away, or that a request may have run, when
// the process stopped or the deadline passed before the request was sent.
func TestUnsent(t *testing.T) {
	cases := map[result.Code]error{
		result.DeadlineTooShort: context.DeadlineExceeded,
		result.Draining:         errStopping,
		result.CallerGone:       context.Canceled,
	}
	for code, cause := range cases {
		is := is.New(t)
		ctx, end := context.WithCancelCause(t.Context())
		end(cause)
		err := (&Call{Context: ctx}).Unsent("a place", nil)
		is.Equal(err.Code, code)
		is.True(err.NotRun())
	}
}

// TestCallsEndBeforeProcess guards against a call that is passed on by a stopping process and outlasts
// it, and against ending calls of a process that does not stop.
func TestCallsEndBeforeProcess(t *testing.T) {
	is := is.New(t)
	var deadline stopDeadline
	long := clock.Now().Add(time.Hour)
	is.Equal(deadline.limit(long), long)
	ctx, cancel := deadline.contextOf(t.Context(), long)
	defer cancel()
	deadline.set(time.Minute)
	is.True(deadline.limit(long).Left() <= time.Minute)
	soon := clock.Now().Add(time.Second)
	is.Equal(deadline.limit(soon), soon)
	is.NoErr(ctx.Err())
	deadline.endCalls()
	<-ctx.Done()
	is.Equal(context.Cause(ctx), errStopping)
}
