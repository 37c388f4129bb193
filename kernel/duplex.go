package kernel

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// upload is the body of a request that is forwarded while it arrives.
//
// Its answer may begin before the body has ended. Only a reader of the whole body knows where
// the next request begins on the connection. Go's server does not notice that the body was left unread,
// since it knows only its own type of body. upload therefore decides whether the connection can be used
// for another request.
//
// The zero value of *upload, nil, stands for a request that is not streamed.
type upload struct {
	body       *guardedBody
	controller *http.ResponseController
	request    *http.Request
	// Whether the client sends the body only after an interim answer.
	onDemand bool
}

// newUpload replaces the body of a request and allows its answer to begin before the body has been read;
// Go's server reads the rest of the body first otherwise. It returns nil if the body is not streamed. The
// handler must call finish before it returns.
func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	if !isStreamed(r) {
		return nil
	}
	u := &upload{
		body:       &guardedBody{source: r.Body},
		controller: http.NewResponseController(w),
		request:    r,
		onDemand:   r.Header.Get("Expect") != "",
	}
	// Without full duplex, the answer waits for the body. Only test recorders lack it.
	_ = u.controller.EnableFullDuplex()
	r.Body = u.body
	return u
}

// discardTimeout is how long a refusal waits for the rest of the body, so that the connection stays usable.
const discardTimeout = 20 * time.Millisecond

// maximumDiscarded bounds the rest of a body that is read before a refusal, in bytes.
const maximumDiscarded = 256 << 10

// prepareHead is called before the head of the answer is written. It announces that the connection closes
// after the answer, unless the body has ended. refused is true if no one else needs the body any more.
func (u *upload) prepareHead(header http.Header, refused bool) {
	if u == nil || u.body.ended() {
		return
	}
	if refused && !u.onDemand && u.readRest() {
		return
	}
	header.Set("Connection", "close")
}

// readRest takes the body from its reader and reads what arrives in a short time. It reports whether the
// body has ended.
func (u *upload) readRest() bool {
	u.body.close()
	deadline := time.Now().Add(discardTimeout)
	if u.controller.SetReadDeadline(deadline) != nil {
		return false
	}
	u.body.discard()
	if u.controller.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	// After the end of the body, the server watches the connection with a read that must not have
	// met the deadline.
	return u.body.ended() && time.Now().Before(deadline)
}

// finish ends the reading of the connection unless the body has ended, and waits for a read in progress.
// The connection is closed when the server has written the answer.
func (u *upload) finish() {
	if u == nil || u.body.ended() {
		return
	}
	u.body.close()
	endReading(u.request)
	// The only error is that the connection has been closed, which ends the read too.
	_ = u.controller.SetReadDeadline(time.Now())
	u.body.awaitReader()
}

// guardedBody is a request body that can be taken from its reader.
type guardedBody struct {
	source     io.ReadCloser
	readMutex  sync.Mutex // held while reading
	stateMutex sync.Mutex // guards closed and atEnd
	closed     bool
	atEnd      bool // a read returned io.EOF
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

// read reads the source. The caller holds readMutex.
func (b *guardedBody) read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	if errors.Is(err, io.EOF) {
		b.stateMutex.Lock()
		defer b.stateMutex.Unlock()
		b.atEnd = true
	}
	return n, err
}

// Close implements io.Closer. It does not wait for a read in progress.
func (b *guardedBody) Close() error {
	b.close()
	return nil
}

// close prevents later reads.
func (b *guardedBody) close() {
	b.stateMutex.Lock()
	defer b.stateMutex.Unlock()
	b.closed = true
}

func (b *guardedBody) isClosed() bool {
	b.stateMutex.Lock()
	defer b.stateMutex.Unlock()
	return b.closed
}

// ended reports whether the body has been read to its end.
func (b *guardedBody) ended() bool {
	b.stateMutex.Lock()
	defer b.stateMutex.Unlock()
	return b.atEnd
}

// awaitReader waits until no read is in progress.
func (b *guardedBody) awaitReader() {
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
}

// discard reads the rest of the body, up to maximumDiscarded.
func (b *guardedBody) discard() {
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
