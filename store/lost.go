package store

import (
	"errors"
	"net"

	"github.com/loomcleat/loomcleat/result"
)

// UnansweredError returns the error for a store call that failed with err before its answer
// was read. It has the code result.EditOutcomeUnknown if the call is a write and the
// connection had been established, since the write may have taken effect, and
// result.StoreUnavailable otherwise.
func UnansweredError(err error, writes bool) error {
	var operation *net.OpError
	dialFailed := errors.As(err, &operation) && operation.Op == "dial"
	if !writes || dialFailed {
		return result.Wrap(result.StoreUnavailable, err, "the store did not answer")
	}
	return result.Wrap(result.EditOutcomeUnknown, err, "no answer to a write, which may have taken effect")
}
