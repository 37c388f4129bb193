package kernel

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/transport/exchange"
	"github.com/loomcleat/loomcleat/transport/responsecheck"
)

// Transmitter sends calls over HTTP/1.1. Its errors distinguish whether any byte of the
// request was written. It never retries: that is decided by the chain, within the retry
// budget.
type Transmitter struct {
	client  *exchange.Client
	refused result.Code // code of the error when nothing was sent
}

// TransmitterConfig configures a Transmitter.
type TransmitterConfig struct {
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// MaximumIdle is the maximum number of idle connections per address.
	MaximumIdle int
	// IdleTimeout is the time after which idle connections are closed. It should be
	// shorter than the idle timeout of the peer.
	IdleTimeout time.Duration
	// Dial opens connections. The default is a socket.Dialer.
	Dial DialFunc
	// Refused is the code of the error when nothing of the request was sent, as when no
	// connection could be opened.
	Refused result.Code
}

// NewTransmitter returns a Transmitter with its own connection pool.
func NewTransmitter(config TransmitterConfig) *Transmitter {
	return &Transmitter{
		refused: config.Refused,
		client: exchange.NewClient(exchange.Config{
			Dial:        config.Dial,
			DialTimeout: config.DialTimeout,
			MaximumIdle: config.MaximumIdle,
			IdleTimeout: config.IdleTimeout,
		}),
	}
}

// Close closes idle connections.
func (t *Transmitter) Close() { t.client.Close() }

// Send sends the call to address with the given headers. The caller closes the body of the
// response. The error is a *result.Error.
func (t *Transmitter) Send(ctx context.Context, call *Call, address string, header http.Header) (*http.Response, error) {
	return t.send(ctx, call, address, header, t.client.Do)
}

// SendOnNewConnection is like Send, but no other request was sent on the connection before.
func (t *Transmitter) SendOnNewConnection(ctx context.Context, call *Call, address string, header http.Header) (*http.Response, error) {
	return t.send(ctx, call, address, header, t.client.DoOnNewConnection)
}

// doFunc is a method of exchange.Client that sends a request to an address.
type doFunc func(ctx context.Context, address string, request *http.Request) (*http.Response, error)

func (t *Transmitter) send(ctx context.Context, call *Call, address string, header http.Header, do doFunc) (*http.Response, error) {
	response, err := do(ctx, address, requestOf(call, header))
	if err != nil {
		return nil, t.classify(ctx, err)
	}
	return response, nil
}

// requestOf builds the HTTP request of a call.
func requestOf(call *Call, header http.Header) *http.Request {
	body, length := call.Body.Open()
	request := &http.Request{
		Method:        call.Method,
		URL:           call.URL,
		Host:          call.Host,
		Header:        header,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Body:          body,
		ContentLength: length,
	}
	if length == 0 {
		request.Body = http.NoBody
	}
	if call.Body.Replayable() {
		request.GetBody = func() (io.ReadCloser, error) {
			again, _ := call.Body.Open()
			return again, nil
		}
	}
	if _, exists := header["User-Agent"]; !exists {
		header["User-Agent"] = []string{""} // keeps the transport from adding one
	}
	return request
}

// classify converts a transport error to a *result.Error, by whether the request was
// written, why ctx ended, if it did, and whether the answer was invalid.
func (t *Transmitter) classify(ctx context.Context, err error) error {
	var failed *exchange.Error
	wrote := !errors.As(err, &failed) || failed.Wrote
	var invalid *responsecheck.Error
	switch {
	case !wrote && ctx.Err() != nil:
		return unsentError(ctx, "a connection", err)
	case !wrote:
		return result.Wrap(t.refused, err, "the request was not sent").WithUsualRetryAfter()
	case ctx.Err() != nil:
		return unansweredError(ctx, err)
	case errors.As(err, &invalid):
		return result.Wrap(result.AnswerInvalid, err, "%v", invalid)
	default:
		return result.Wrap(result.ConnectionLost, err, "the connection broke before the answer")
	}
}
