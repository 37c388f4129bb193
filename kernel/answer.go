package kernel

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/loomcleat/loomcleat/wire"
)

// copyBuffers are the buffers in which bodies are passed on.
var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 32<<10)
	return &buffer
}}

// writeAnswer passes an answer on: status, headers, body and trailers. A body
// that ends too early breaks the connection, so that the caller never takes it
// for a whole answer.
func writeAnswer(w http.ResponseWriter, answer *http.Response) {
	header := w.Header()
	wire.RemoveHopByHop(answer.Header)
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, exists := answer.Header["Content-Type"]; !exists {
		header["Content-Type"] = nil // else the server would guess one
	}
	w.WriteHeader(answer.StatusCode)
	if err := copyBody(w, answer); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}

// holdBody reads a body, up to what is kept of an answer, before its head goes out.
// One that breaks off becomes a failure, so that the connection can go on.
func holdBody(answer *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, maximumBuffered))
	if err != nil {
		_ = answer.Body.Close()
		return brokenOff()
	}
	answer.Body = &heldBody{Reader: io.MultiReader(bytes.NewReader(data), answer.Body), Closer: answer.Body}
	return nil
}

// heldBody is a body of which a part has been read already.
type heldBody struct {
	io.Reader
	io.Closer
}

// copyBody passes the body on. What has been read is flushed unless the body is
// whole, since the caller may wait for it while the rest takes its time.
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
			return readErr
		}
	}
}
