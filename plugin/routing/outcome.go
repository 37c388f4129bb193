package routing

import (
	"context"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// outcomeOf returns how a failed attempt counts for its node. The error is either an own
// observation, for example a broken connection, or a refusal that the node sent.
func outcomeOf(call *kernel.Call, err error) balance.Outcome {
	if context.Cause(call.Context) == context.Canceled {
		return balance.Unknown
	}
	typed := result.From(err)
	evidence := typed.Code.Conclusion().Node
	switch {
	case evidence == result.NoEvidence:
		return balance.Unknown
	case evidence == result.ByOutcome && typed.NotRun():
		return balance.Refused
	default:
		return balance.Failed
	}
}

// outcomeOfAnswer returns the outcome of an attempt with a complete answer of the back end.
func outcomeOfAnswer(answer *kernel.Answer) balance.Outcome {
	if answer.Failed() && !answer.CausedDownstream {
		return balance.Faulty
	}
	return balance.Answered
}
