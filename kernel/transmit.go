package kernel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// Transmitter sends calls over HTTP/1.1 and knows, when that fails, whether any
// byte of the request was written.
//
// Go's http.Transport sends a request again by itself when a connection that
// was idle turns out to be closed and the request looks repeatable: a request
// without a body and with a safe method, or any request with an
// Idempotency-Key header. Such hidden attempts would break the bound on
// retries and could run a request twice. Transmitter avoids both: a request
// never has an empty body value, and the key header is written in lower case,
// which the transport does not look for.
type Transmitter struct {
	transport *http.Transport
	refused   result.Code // when no connection could be opened
}

// TransmitterConfig configures a Transmitter.
type TransmitterConfig struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaximumIdle is the number of idle connections kept for each address.
	// More save new connections under changing load, fewer save memory.
	MaximumIdle int
	// IdleTimeout closes idle connections. It should be shorter than the idle
	// timeout of the other side.
	IdleTimeout time.Duration
	// MaximumConnections bounds the connections to one address, 0 for none.
	MaximumConnections int
	// Dial opens connections. Default: a net.Dialer.
	Dial DialFunc
	// Refused is the code of the error when no connection could be opened.
	Refused result.Code
}

// connectionBuffer is the size of the two buffers of each connection, in bytes.
// Most requests and answers fit. A node keeps hundreds of connections, so that
// larger ones cost more memory than they save calls of the system.
const connectionBuffer = 4 << 10

// countingConn counts the bytes that were written.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// NewTransmitter returns a Transmitter.
func NewTransmitter(config TransmitterConfig) *Transmitter {
	dial := config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: config.DialTimeout}).DialContext
	}
	return &Transmitter{
		refused: config.Refused,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			DisableCompression:  true,
			MaxIdleConnsPerHost: config.MaximumIdle,
			MaxConnsPerHost:     config.MaximumConnections,
			IdleConnTimeout:     config.IdleTimeout,
			WriteBufferSize:     connectionBuffer,
			ReadBufferSize:      connectionBuffer,
		},
	}
}

// Close closes idle connections.
func (t *Transmitter) Close() { t.transport.CloseIdleConnections() }

// connectionUse remembers the connection that a request got and how much had
// been written to it before.
type connectionUse struct {
	conn   *countingConn
	before int64
}

// wrote reports whether a byte was written for the request, as far as known.
func (u *connectionUse) wrote() bool {
	if u.conn == nil {
		return false
	}
	return u.conn.written.Load() != u.before
}

// Send sends the call to address with the given headers and returns the
// response with its body open.
func (t *Transmitter) Send(ctx context.Context, call *Call, address string, header http.Header) (*http.Response, error) {
	var use connectionUse
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			use = connectionUse{conn: conn, before: conn.written.Load()}
		}
	}}
	request := t.request(httptrace.WithClientTrace(ctx, trace), call, address, header)
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, t.classify(ctx, err, use.wrote())
	}
	return response, nil
}

// request builds the HTTP request of a call.
func (t *Transmitter) request(ctx context.Context, call *Call, address string, header http.Header) *http.Request {
	target := *call.URL
	target.Scheme = "http"
	target.Host = address
	target.User = nil
	body, length := call.Body.Open()
	request := &http.Request{
		Method:        call.Method,
		URL:           &target,
		Host:          call.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          body,
		ContentLength: length,
	}
	if length == 0 {
		setEmptyBody(request, call)
	}
	if _, exists := header["User-Agent"]; !exists {
		header["User-Agent"] = []string{""} // else the transport adds its own
	}
	hideIdempotencyKey(header)
	return request.WithContext(ctx)
}

// setEmptyBody makes the request one that the transport does not send twice. A
// body value that is not http.NoBody does that; the transport finds out by
// itself that it is empty for methods that usually have none. For the others
// the length must be said, and the missing key header suffices.
func setEmptyBody(request *http.Request, call *Call) {
	switch call.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = io.NopCloser(emptyReader{})
	default:
		request.Body = http.NoBody
	}
}

// emptyReader is an empty body that is not http.NoBody.
type emptyReader struct{}

// Read implements io.Reader.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// lowerIdempotencyKey is the header name as the transport does not know it.
const lowerIdempotencyKey = "idempotency-key"

func hideIdempotencyKey(header http.Header) {
	for _, name := range []string{wire.HeaderIdempotencyKey, "X-" + wire.HeaderIdempotencyKey} {
		if values, exists := header[name]; exists {
			delete(header, name)
			if name == wire.HeaderIdempotencyKey {
				header[lowerIdempotencyKey] = values
			} else {
				header["x-"+lowerIdempotencyKey] = values
			}
		}
	}
}

// classify turns a transport error into a numbered one.
func (t *Transmitter) classify(ctx context.Context, err error, wrote bool) error {
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded)
	cancelled := cause != nil && !timedOut
	switch {
	case !wrote && timedOut:
		return result.Wrap(result.DeadlineTooShort, err, "no connection within the time left")
	case !wrote && cancelled:
		return result.Wrap(result.CallerGone, err, "the caller went away before the request was sent")
	case !wrote:
		return result.Wrap(t.refused, err, "the request was not sent").WithRetryAfter(time.Second)
	case timedOut:
		return result.Wrap(result.DeadlineExceeded, err, "no answer within the time left")
	case cancelled:
		return result.Wrap(result.CallerCancelled, err, "the caller went away while the request was in flight")
	default:
		return result.Wrap(result.ConnectionLost, err, "the connection broke before the answer")
	}
}
