package kernel

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
)

// checkLimits refuses a request whose header or body is larger than the policy allows,
// with a result.HeaderTooLarge or result.BodyTooLarge error. Reading a body of unknown
// length fails at the limit.
func checkLimits(r *http.Request, limits policy.Limits) error {
	if limits.MaximumHeader > 0 {
		if size := headerSize(r); size > limits.MaximumHeader {
			return result.New(result.HeaderTooLarge, "the header has %d bytes, %d are allowed", size, limits.MaximumHeader)
		}
	}
	if limits.MaximumBody <= 0 {
		return nil
	}
	if r.ContentLength > limits.MaximumBody {
		return result.New(result.BodyTooLarge, "the body has %d bytes, %d are allowed", r.ContentLength, limits.MaximumBody)
	}
	if r.ContentLength < 0 {
		r.Body = &limitedBody{ReadCloser: http.MaxBytesReader(nil, r.Body, limits.MaximumBody)}
	}
	return nil
}

// limitedBody is a body of unknown length that fails at a limit.
type limitedBody struct {
	io.ReadCloser
	exceeded atomic.Bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		b.exceeded.Store(true)
	}
	return n, err
}

// causeOf returns the error with which a call failed: a result.BodyTooLarge error if the body of its request
// turned out to be too large, which others may take for a connection that broke, and err otherwise.
func (b *Body) causeOf(err error) error {
	if err == nil || b.limited == nil || !b.limited.exceeded.Load() {
		return err
	}
	tooLarge := result.Wrap(result.BodyTooLarge, err, "the body is larger than is allowed")
	tooLarge.Ran = !result.From(err).NotRun()
	return tooLarge
}

// headerSize returns the size in bytes of the request target, the host and the names and
// values of the header, without separators.
func headerSize(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
