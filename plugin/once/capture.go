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

// captureLimit is the size up to which answers are kept, in bytes. Longer ones
// are passed on, but a repeated request only learns that it was run.
const captureLimit = 8 << 10

// capture passes the body of an answer on and keeps a copy of a small one. The
// outcome is reported once, also when the caller goes away before the end.
type capture struct {
	source io.ReadCloser
	status int
	header http.Header
	copied bytes.Buffer
	large  bool
	once   sync.Once
	ended  func(*claims.Answer)
}

func newCapture(response *http.Response, ended func(*claims.Answer)) *capture {
	return &capture{
		source: response.Body,
		status: response.StatusCode,
		header: response.Header.Clone(),
		large:  response.ContentLength > captureLimit,
		ended:  ended,
	}
}

// Read implements io.Reader.
func (c *capture) Read(data []byte) (int, error) {
	n, err := c.source.Read(data)
	c.keep(data[:n])
	if err == io.EOF {
		c.report(true)
	} else if err != nil {
		c.report(false)
	}
	return n, err
}

func (c *capture) keep(data []byte) {
	if c.large {
		return
	}
	if c.copied.Len()+len(data) > captureLimit {
		c.large = true
		c.copied = bytes.Buffer{}
		return
	}
	c.copied.Write(data)
}

func (c *capture) report(whole bool) {
	c.once.Do(func() {
		if !whole || c.large {
			c.ended(nil)
			return
		}
		c.ended(&claims.Answer{Status: c.status, Header: c.header, Body: c.copied.Bytes()})
	})
}

// Close implements io.Closer. What is left of a small answer is read first, so
// that a caller that went away can ask for it again.
func (c *capture) Close() error {
	buffer := make([]byte, 1<<10)
	for !c.large {
		if _, err := c.Read(buffer); err != nil {
			break
		}
	}
	c.report(false)
	return c.source.Close()
}

// replay answers a repeated request with the stored answer.
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
