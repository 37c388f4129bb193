package once

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// captureLimit is the maximum body size of a stored answer, in bytes. Longer answers are
// passed on but not stored, so that a repeated request gets a result.AlreadyClaimed error.
const captureLimit = 8 << 10

// capture is an answer body that copies what is read from it, up to captureLimit. It calls
// onEnd exactly once: with the stored answer, or with nil if the body was too large or
// incomplete.
type capture struct {
	source   io.ReadCloser
	status   int
	header   http.Header
	copied   bytes.Buffer
	tooLarge bool
	once     sync.Once
	onEnd    func(*claims.Answer)
}

func newCapture(response *http.Response, onEnd func(*claims.Answer)) *capture {
	return &capture{
		source:   response.Body,
		status:   response.StatusCode,
		header:   response.Header.Clone(),
		tooLarge: response.ContentLength > captureLimit,
		onEnd:    onEnd,
	}
}

// Read implements io.Reader.
func (c *capture) Read(data []byte) (int, error) {
	n, err := c.source.Read(data)
	c.record(data[:n])
	if err == io.EOF {
		c.report(true)
	} else if err != nil {
		c.report(false)
	}
	return n, err
}

func (c *capture) record(data []byte) {
	if c.tooLarge {
		return
	}
	if c.copied.Len()+len(data) > captureLimit {
		c.tooLarge = true
		c.copied = bytes.Buffer{}
		return
	}
	c.copied.Write(data)
}

func (c *capture) report(complete bool) {
	c.once.Do(func() {
		if !complete || c.tooLarge {
			c.onEnd(nil)
			return
		}
		c.onEnd(&claims.Answer{Status: c.status, Header: c.header, Body: c.copied.Bytes()})
	})
}

// Close implements io.Closer. It first reads the rest of a small answer, so that a caller
// that disconnected can get the complete answer with a repeated request.
func (c *capture) Close() error {
	buffer := make([]byte, 1<<10)
	for !c.tooLarge {
		if _, err := c.Read(buffer); err != nil {
			break
		}
	}
	c.report(false)
	return c.source.Close()
}

// replay answers a repeated request with the stored answer. It returns a
// result.AlreadyClaimed error if no answer was stored.
func replay(stored *claims.Answer) (*kernel.Answer, error) {
	if stored == nil {
		return nil, uncertain("the request was run before and its answer was not kept")
	}
	if stored.Status == 0 {
		return nil, result.New(result.Internal, "a stored answer has no status")
	}
	header := http.Header{}
	for name, values := range stored.Header {
		header[name] = append([]string{}, values...)
	}
	return &kernel.Answer{
		Replayed: true,
		Response: &http.Response{
			StatusCode:    stored.Status,
			Header:        header,
			Body:          io.NopCloser(bytes.NewReader(stored.Body)),
			ContentLength: int64(len(stored.Body)),
		},
	}, nil
}
