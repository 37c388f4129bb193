package kernel

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/loomcleat/loomcleat/result"
)

// Body is a request body. Small bodies of known length are read into memory so that
// they can be sent again; others are streamed.
type Body struct {
	data     []byte
	buffered bool
	stream   io.ReadCloser
	length   int64        // -1 when unknown
	limited  *limitedBody // nil without a limit, or when it is known to be kept
	opened   bool
}

// replayableLimit is the size up to which bodies are read into memory, in bytes.
const replayableLimit = 64 << 10

// isStreamed reports whether the body of a request is forwarded while it arrives.
func isStreamed(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > replayableLimit
}

// NewBufferedBody returns a body that is in memory.
func NewBufferedBody(data []byte) *Body {
	return &Body{data: data, buffered: true, length: int64(len(data))}
}

// newBody returns the body of a request that the HTTP server received. It returns a
// result.CallerGone error when a body that it reads into memory is truncated.
func newBody(r *http.Request) (*Body, error) {
	if r.ContentLength == 0 {
		return NewBufferedBody(nil), nil
	}
	if isStreamed(r) {
		limited, _ := r.Body.(*limitedBody)
		return &Body{stream: r.Body, length: r.ContentLength, limited: limited}, nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return nil, result.Wrap(result.CallerGone, err, "reading the request body")
	}
	return NewBufferedBody(data), nil
}

// Replayable reports whether the body can be sent now: it is in memory, or has not
// been opened yet.
func (b *Body) Replayable() bool { return b.buffered || !b.opened }

// Buffered returns the bytes of the body, and false when the body is streamed.
func (b *Body) Buffered() ([]byte, bool) { return b.data, b.buffered }

// fingerprint returns a hash of the body, 0 when it is streamed.
func (b *Body) fingerprint() uint64 {
	if !b.buffered {
		return 0
	}
	return xxhash.Sum64(b.data)
}

// Open returns a reader of the complete body and its length, -1 when unknown.
func (b *Body) Open() (io.ReadCloser, int64) {
	b.opened = true
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.data)), b.length
	}
	return b.stream, b.length
}
