package kernel

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/loomcleat/loomcleat/result"
)

// pipelined is a request that its caller has sent behind another one on the same
// connection, and that is served beside it. Its answer is kept until the server comes to
// the request and takes it. It is the http.ResponseWriter of the request.
//
// Without it, Go's server begins with a request when the one before it has been
// answered, so that the last one of a row waits for all of them.
type pipelined struct {
	request *http.Request
	cancel  context.CancelFunc

	mutex   sync.Mutex
	changed sync.Cond
	header  http.Header // of the handler
	status  int         // 0 until the head of the answer is there
	head    http.Header // as it was then
	body    []byte      // that has not been taken yet
	ended   bool
	broken  bool // the answer is not whole
}

// maximumBuffered bounds the bytes of an answer that wait to be taken: the memory that a
// pipelined request costs while its caller reads the answers before it.
const maximumBuffered = 64 << 10

func newPipelined(request *http.Request, cancel context.CancelFunc) *pipelined {
	a := &pipelined{request: request, cancel: cancel, header: http.Header{}}
	a.changed.L = &a.mutex
	// A handler that waits for room goes on when the request is given up.
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
	a.begin(status)
}

// begin fixes the head of the answer. The mutex is held.
func (a *pipelined) begin(status int) {
	if a.status != 0 || status < http.StatusOK {
		return
	}
	a.status = status
	a.head = a.header.Clone()
	delete(a.head, "Connection") // whether it goes on is decided when the answer goes out
	a.changed.Broadcast()
}

// Write implements http.ResponseWriter. It waits while too much is to be taken.
func (a *pipelined) Write(data []byte) (int, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.begin(http.StatusOK)
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

// end ends the answer.
func (a *pipelined) end(broken bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !broken {
		a.begin(http.StatusOK)
	}
	a.ended, a.broken = true, broken
	a.changed.Broadcast()
}

// run lets a handler answer the request.
func (a *pipelined) run(handler http.Handler) {
	broken := true
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
		a.end(broken)
	}()
	handler.ServeHTTP(a, a.request)
	broken = false
}

// is reports whether a request that the server has come to is this one.
func (a *pipelined) is(r *http.Request, idHeader string) bool {
	return a.request.Method == r.Method && a.request.Host == r.Host && a.request.RequestURI == r.RequestURI &&
		(idHeader == "" || a.request.Header.Get(idHeader) == r.Header.Get(idHeader))
}

// passOn passes the answer on. One that fits into what is kept is passed on when it
// is whole: if it breaks off, the caller gets a failure in its place, and what waits
// behind it on the connection is not lost. A longer one is passed on as it comes and
// breaks the connection if it breaks off.
func (a *pipelined) passOn(w http.ResponseWriter) {
	defer a.cancel()
	if a.awaitWhole() {
		brokenOff().WriteHTTP(w)
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
	a.passTrailers(header)
}

// brokenOff is the failure in the place of an answer that broke off.
func brokenOff() *result.Error {
	return result.New(result.ConnectionLost, "the answer broke off")
}

// awaitWhole waits until the answer is whole, or more than is kept. It reports
// whether it broke off before that.
func (a *pipelined) awaitWhole() (broken bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.ended && len(a.body) < maximumBuffered {
		a.changed.Wait()
	}
	return a.broken
}

// take waits for a part of the body and removes it. It reports whether it was the
// last one.
func (a *pipelined) take() (data []byte, last bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for len(a.body) == 0 && !a.ended {
		a.changed.Wait()
	}
	if a.broken {
		panic(http.ErrAbortHandler)
	}
	data, a.body = a.body, nil
	a.changed.Broadcast()
	return data, a.ended
}

// passTrailers sets the trailers that the handler has set after the body.
func (a *pipelined) passTrailers(header http.Header) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name, values := range a.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			header[name] = values
		}
	}
}
