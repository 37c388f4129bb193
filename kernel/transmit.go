package kernel

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/transport/exchange"
)

// Transmitter sends calls over HTTP/1.1 and knows, when that fails, whether any
// byte of the request was written. It sends each call once: another attempt is a
// decision of the chain, with its own budget.
type Transmitter struct {
	client  *exchange.Client
	refused result.Code // when no connection could be opened
}

// TransmitterConfig configures a Transmitter.
type TransmitterConfig struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaximumIdle is the number of idle connections kept for each address.
	// More save new connections under changing load, fewer save descriptors.
	MaximumIdle int
	// IdleTimeout closes idle connections. It should be shorter than the idle
	// timeout of the other side.
	IdleTimeout time.Duration
	// Dial opens connections. Default: a socket.Dialer.
	Dial DialFunc
	// Refused is the code of the error when no connection could be opened.
	Refused result.Code
}

// NewTransmitter returns a Transmitter.
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

// Send sends the call to address with the given headers and returns the
// response with its body open.
func (t *Transmitter) Send(ctx context.Context, call *Call, address string, header http.Header) (*http.Response, error) {
	response, err := t.client.Do(ctx, address, requestOf(call, header))
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
		header["User-Agent"] = []string{""} // else one is added
	}
	return request
}

// classify turns a transport error into a numbered one.
func (t *Transmitter) classify(ctx context.Context, err error) error {
	var failed *exchange.Error
	wrote := !errors.As(err, &failed) || failed.Wrote
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded)
	cancelled := cause != nil && !timedOut
	switch {
	case !wrote && timedOut:
		return result.Wrap(result.DeadlineTooShort, err, "no connection within the time left")
	case !wrote && cancelled:
		return result.Wrap(result.CallerGone, err, "the caller went away before the request was sent")
	case !wrote:
		return result.Wrap(t.refused, err, "the request was not sent").WithUsualRetryAfter()
	case timedOut:
		return result.Wrap(result.DeadlineExceeded, err, "no answer within the time left")
	case cancelled:
		return result.Wrap(result.CallerCancelled, err, "the caller went away while the request was in flight")
	default:
		return result.Wrap(result.ConnectionLost, err, "the connection broke before the answer")
	}
}
