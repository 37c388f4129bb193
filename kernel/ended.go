package kernel

import (
	"context"
	"errors"

	"github.com/loomcleat/loomcleat/result"
)

// Unsent returns the error of a call that had not been sent when its context ended. what is what it was
// waiting for, cause the error that it got, if any.
func (c *Call) Unsent(what string, cause error) *result.Error {
	return unsentError(c.Context, what, cause)
}

func unsentError(ctx context.Context, what string, cause error) *result.Error {
	switch ended := context.Cause(ctx); {
	case errors.Is(ended, context.DeadlineExceeded):
		return result.Wrap(result.DeadlineTooShort, cause, "the deadline passed while waiting for %s", what)
	case errors.Is(ended, errStopping):
		return result.Wrap(result.Draining, cause, "the process stopped while the request waited for %s", what).WithUsualRetryAfter()
	default:
		return result.Wrap(result.CallerGone, cause, "the caller went away while waiting for %s", what)
	}
}

// unansweredError returns the error of a call that had been sent when its context ended.
func unansweredError(ctx context.Context, cause error) *result.Error {
	switch ended := context.Cause(ctx); {
	case errors.Is(ended, context.DeadlineExceeded):
		return result.Wrap(result.DeadlineExceeded, cause, "no answer within the time left")
	case errors.Is(ended, errStopping):
		return result.Wrap(result.Stopped, cause, "the process stopped while the request was in flight")
	default:
		return result.Wrap(result.CallerCancelled, cause, "the caller went away while the request was in flight")
	}
}
