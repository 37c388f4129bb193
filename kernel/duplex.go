package kernel

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// streamBothWays allows the answer to begin before the request body is read; without
// it, Go's server reads the rest of the request first. The handler must call finish
// before it returns.
//
// When the handler returns, the transport may still be reading the body in its own
// goroutine, and the server panics if an unread body ends while it reads the next
// request. finish therefore stops the reader and reads the rest of a short body.
func streamBothWays(w http.ResponseWriter, r *http.Request) (finish func()) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	body := &guardedBody{source: r.Body}
	r.Body = body
	return func() {
		if body.ended() {
			return
		}
		_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
		body.discard()
	}
}

// Bounds of discarding the rest of a request body after the answer.
const (
	discardTimeout   = 100 * time.Millisecond
	maximumDiscarded = 256 << 10
)

// guardedBody is a request body whose Close prevents later reads.
type guardedBody struct {
	source     io.ReadCloser
	readMutex  sync.Mutex // held while reading
	stateMutex sync.Mutex // guards closed and atEnd
	closed     bool
	atEnd      bool // a read returned an error, io.EOF included
}

var errBodyClosed = errors.New("the request body is closed")

// Read implements io.Reader.
func (b *guardedBody) Read(data []byte) (int, error) {
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	if b.isClosed() {
		return 0, errBodyClosed
	}
	return b.read(data)
}

func (b *guardedBody) read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	if err != nil {
		b.stateMutex.Lock()
		b.atEnd = true
		b.stateMutex.Unlock()
	}
	return n, err
}

// Close implements io.Closer. It does not wait for a read in progress.
func (b *guardedBody) Close() error {
	b.stateMutex.Lock()
	defer b.stateMutex.Unlock()
	b.closed = true
	return nil
}

func (b *guardedBody) isClosed() bool {
	b.stateMutex.Lock()
	defer b.stateMutex.Unlock()
	return b.closed
}

func (b *guardedBody) ended() bool {
	b.stateMutex.Lock()
	defer b.stateMutex.Unlock()
	return b.atEnd
}

// discard closes the body for other readers and reads the rest of it, up to
// maximumDiscarded.
func (b *guardedBody) discard() {
	_ = b.Close()
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	buffer := make([]byte, 8<<10)
	for total := 0; total < maximumDiscarded && !b.ended(); {
		n, err := b.read(buffer)
		total += n
		if err != nil {
			return
		}
	}
}
