package kernel

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/loomcleat/loomcleat/result"
)

// pipelined is a pipelined request that is served concurrently with the requests before it
// on the connection. It is the http.ResponseWriter of the request and buffers the answer
// until the server reaches the request. Go's server alone starts a request only after it
// has answered the previous one.
type pipelined struct {
	request *http.Request
	cancel  context.CancelFunc

	mutex     sync.Mutex
	changed   sync.Cond
	header    http.Header // returned by Header
	status    int         // 0 until the handler has written the head
	head      http.Header // copy of header at that moment
	body      []byte      // written by the handler and not yet taken
	ended     bool        // the handler has returned
	truncated bool        // the answer is incomplete
}

// maximumBuffered bounds the buffered part of an answer, in bytes, and thereby the memory
// of a pipelined request while its caller reads the previous answers.
const maximumBuffered = 64 << 10

func newPipelined(request *http.Request, cancel context.CancelFunc) *pipelined {
	a := &pipelined{request: request, cancel: cancel, header: http.Header{}}
	a.changed.L = &a.mutex
	// Wakes a handler that waits in Write when the request is cancelled.
	context.AfterFunc(request.Context(), func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.changed.Broadcast()
	})
	return a
}

// Header implements http.ResponseWriter.
func (a *pipelined) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *pipelined) WriteHeader(status int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.setHead(status)
}

// setHead sets the head of the answer unless it is set or informational (1xx). The caller
// holds mutex.
func (a *pipelined) setHead(status int) {
	if a.status != 0 || status < http.StatusOK {
		return
	}
	a.status = status
	a.head = a.header.Clone()
	delete(a.head, "Connection") // decided when the answer is sent
	a.changed.Broadcast()
}

// Write implements http.ResponseWriter. It blocks while the buffer is full.
func (a *pipelined) Write(data []byte) (int, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.setHead(http.StatusOK)
	for len(a.body) >= maximumBuffered && a.request.Context().Err() == nil {
		a.changed.Wait()
	}
	if err := a.request.Context().Err(); err != nil {
		return 0, err
	}
	a.body = append(a.body, data...)
	a.changed.Broadcast()
	return len(data), nil
}

// finish marks the answer as ended, and as incomplete when truncated is set.
func (a *pipelined) finish(truncated bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !truncated {
		a.setHead(http.StatusOK)
	}
	a.ended, a.truncated = true, truncated
	a.changed.Broadcast()
}

// run answers the request with handler. A handler that panics with http.ErrAbortHandler
// leaves the answer incomplete.
func (a *pipelined) run(handler http.Handler) {
	truncated := true
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
		a.finish(truncated)
	}()
	handler.ServeHTTP(a, a.request)
	truncated = false
}

// matches reports whether r, which the server has read from the connection, is this
// request.
func (a *pipelined) matches(r *http.Request, idHeader string) bool {
	return a.request.Method == r.Method && a.request.Host == r.Host && a.request.RequestURI == r.RequestURI &&
		(idHeader == "" || a.request.Header.Get(idHeader) == r.Header.Get(idHeader))
}

// writeTo writes the answer to w. An answer that fits into the buffer is written when it is
// complete. If it is truncated, an error is sent instead and the connection stays usable
// for the requests after it. A longer answer is streamed, and the connection is closed if
// it is truncated.
func (a *pipelined) writeTo(w http.ResponseWriter) {
	defer a.cancel()
	if a.awaitComplete() {
		truncatedAnswer().WriteHTTP(w)
		return
	}
	header := w.Header()
	for name, values := range a.head {
		header[name] = values
	}
	w.WriteHeader(a.status)
	for last := false; !last; {
		var data []byte
		data, last = a.take()
		if _, err := w.Write(data); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	a.copyTrailers(header)
}

// truncatedAnswer returns the error that is sent instead of a truncated answer.
func truncatedAnswer() *result.Error {
	return result.New(result.ConnectionLost, "the answer broke off")
}

// awaitComplete waits until the answer has ended or the buffer is full. It reports whether
// the answer was truncated by then.
func (a *pipelined) awaitComplete() (truncated bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.ended && len(a.body) < maximumBuffered {
		a.changed.Wait()
	}
	return a.truncated
}

// take waits for data of the body and removes it from the buffer. last is true when the
// answer has ended. It panics with http.ErrAbortHandler when the answer is truncated.
func (a *pipelined) take() (data []byte, last bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for len(a.body) == 0 && !a.ended {
		a.changed.Wait()
	}
	if a.truncated {
		panic(http.ErrAbortHandler)
	}
	data, a.body = a.body, nil
	a.changed.Broadcast()
	return data, a.ended
}

// copyTrailers copies the trailers that the handler set after the body.
func (a *pipelined) copyTrailers(header http.Header) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name, values := range a.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			header[name] = values
		}
	}
}
