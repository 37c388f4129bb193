package store

import (
	"errors"
	"net"

	"github.com/loomcleat/loomcleat/result"
)

// Lost returns the error of a call to a store that got no answer: a write whose
// connection was open may have taken effect, anything else has not.
func Lost(err error, writes bool) error {
	var operation *net.OpError
	dialFailed := errors.As(err, &operation) && operation.Op == "dial"
	if !writes || dialFailed {
		return result.Wrap(result.StoreUnavailable, err, "the store did not answer")
	}
	return result.Wrap(result.EditOutcomeUnknown, err, "the store's answer to a write was lost")
}
