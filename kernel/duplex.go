package kernel

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// streamBothWays lets the answer begin before the request has ended; without
// it, Go's server reads the rest of the request first. It returns a function
// that must be called at the end of the handler.
//
// Two things must not be left to the server then. The transport may still read
// the body in a goroutine of its own when the handler returns, and the server
// panics when it finds an unread body that ends while it looks for the next
// request. Therefore reading is stopped, and what is left of a short body is
// read here.
func streamBothWays(w http.ResponseWriter, r *http.Request) (finish func()) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	body := &guardedBody{source: r.Body}
	r.Body = body
	return func() {
		if body.ended() {
			return
		}
		_ = controller.SetReadDeadline(time.Now().Add(leftoverTime))
		body.discard()
	}
}

// Bounds of what is read of a request that has been answered.
const (
	leftoverTime  = 100 * time.Millisecond
	leftoverBytes = 256 << 10
)

// guardedBody is a request body that is not read after it was closed.
type guardedBody struct {
	source io.ReadCloser
	mutex  sync.Mutex // held while reading
	state  sync.Mutex
	closed bool
	atEnd  bool
}

var errBodyClosed = errors.New("the request body is closed")

// Read implements io.Reader.
func (b *guardedBody) Read(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.isClosed() {
		return 0, errBodyClosed
	}
	return b.read(data)
}

func (b *guardedBody) read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	if err != nil {
		b.state.Lock()
		b.atEnd = true
		b.state.Unlock()
	}
	return n, err
}

// Close implements io.Closer. It does not wait for a read that has begun.
func (b *guardedBody) Close() error {
	b.state.Lock()
	defer b.state.Unlock()
	b.closed = true
	return nil
}

func (b *guardedBody) isClosed() bool {
	b.state.Lock()
	defer b.state.Unlock()
	return b.closed
}

func (b *guardedBody) ended() bool {
	b.state.Lock()
	defer b.state.Unlock()
	return b.atEnd
}

// discard stops other readers and reads the rest of a short body.
func (b *guardedBody) discard() {
	_ = b.Close()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	buffer := make([]byte, 8<<10)
	for total := 0; total < leftoverBytes && !b.ended(); {
		n, err := b.read(buffer)
		total += n
		if err != nil {
			return
		}
	}
}
