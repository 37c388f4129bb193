package quarantine

import (
	"errors"
	"io"

	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/quarantine"
	"github.com/loomcleat/loomcleat/result"
)

// answerBody records the outcome of a call at the end of its answer, since a request may
// crash the back end in the middle of the answer.
type answerBody struct {
	io.ReadCloser
	plugin   *plugin
	call     *kernel.Call
	verdict  quarantine.Verdict
	recorded bool
}

// Read implements io.Reader.
func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.recordEnd(nil)
	case b.call.Context.Err() != nil:
		b.recordEnd(result.Wrap(result.CallerCancelled, err, "caller cancelled before the answer was complete"))
	default:
		b.recordEnd(result.Wrap(result.ConnectionLost, err, "connection broke before the answer was complete"))
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.recordEnd(result.New(result.CallerCancelled, "answer body closed before it was read completely"))
	return err
}

// recordEnd records the outcome of the call, nil for a complete answer. Only the first call has an
// effect.
func (b *answerBody) recordEnd(err *result.Error) {
	if b.recorded {
		return
	}
	b.recorded = true
	_ = b.plugin.recordOutcome(b.call, b.verdict, err) // The reader of the body gets the error of Read.
}
