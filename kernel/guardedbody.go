package kernel

import (
	"errors"
	"io"
	"sync"
)

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
