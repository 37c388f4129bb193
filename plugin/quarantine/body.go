package quarantine

import (
	"errors"
	"io"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/result"
)

// answerBody finds out how an answer ends: a request that crashes a back end in the middle
// of its answer is a lost one.
type answerBody struct {
	io.ReadCloser
	plugin  *plugin
	call    *kernel.Call
	verdict quarantine.Verdict
	ended   bool
}

// Read implements io.Reader.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.end(nil)
	case b.call.Context.Err() != nil:
		b.end(result.Wrap(result.CallerCancelled, err, "the caller went away during the answer"))
	default:
		b.end(result.Wrap(result.ConnectionLost, err, "the answer broke off"))
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(result.New(result.CallerCancelled, "the answer was not read to its end"))
	return err
}

// end takes note of the end of an answer, nil for one that is whole.
func (b *answerBody) end(err *result.Error) {
	if b.ended {
		return
	}
	b.ended = true
	_ = b.plugin.finished(b.call, b.verdict, err) // the reader of the body has its own error
}
