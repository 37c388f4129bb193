package kernel

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// copyBuffers holds the buffers that copyBody uses.
var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 32<<10)
	return &buffer
}}

// writeAnswer writes an answer to w: status, headers, body and trailers. It returns an error, of
// type *brokenOffError if not the caller is the reason, when the body could not be passed on to its
// end. The connection to the caller must then be closed.
func writeAnswer(w http.ResponseWriter, answer *http.Response) error {
	header := w.Header()
	wire.RemoveHopByHop(answer.Header)
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, exists := answer.Header["Content-Type"]; !exists {
		header["Content-Type"] = nil // keeps net/http from sniffing one
	}
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer); err != nil {
		return err
	}
	wire.RemoveInternal(answer.Trailer)
	for name, values := range answer.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// brokenOffError is the error with which the body of an answer ended before its end.
type brokenOffError struct {
	cause error
}

func (e *brokenOffError) Error() string { return "the answer broke off: " + e.cause.Error() }

func (e *brokenOffError) Unwrap() error { return e.cause }

// prefetchBody reads up to maximumBuffered bytes of the body before the head of the answer
// is written. If the body is truncated within them, it returns an error that can be
// sent instead, so that the connection stays usable.
func prefetchBody(answer *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, maximumBuffered))
	if err != nil {
		_ = answer.Body.Close()
		return result.Wrap(result.ConnectionLost, err, "the answer broke off")
	}
	answer.Body = &prefetchedBody{Reader: io.MultiReader(bytes.NewReader(data), answer.Body), Closer: answer.Body}
	return nil
}

// prefetchedBody is a body whose beginning is in memory.
type prefetchedBody struct {
	io.Reader
	io.Closer
}

// copyBody copies the body of the answer to w. It flushes after each read unless the body
// is then complete by its Content-Length, because the caller may wait for this data while
// the rest is delayed.
func copyBody(w http.ResponseWriter, answer *http.Response) error {
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	passed := int64(0)
	for {
		n, readErr := answer.Body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return err
			}
			passed += int64(n)
			if passed != answer.ContentLength {
				_ = controller.Flush()
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return &brokenOffError{cause: readErr}
		}
	}
}
