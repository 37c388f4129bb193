package routing

import (
	"context"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// outcomeOf decides whether a failed attempt speaks against the node, be it seen
// here or told by the node.
func outcomeOf(call *kernel.Call, err error) balance.Outcome {
	if call.Context.Err() == context.Canceled {
		return balance.Unknown
	}
	typed := result.From(err)
	evidence := typed.Code.Conclusion().Node
	switch {
	case evidence == result.NoEvidence:
		return balance.Unknown
	case evidence == result.ByRun && typed.NotRun():
		return balance.Refused
	default:
		return balance.Failed
	}
}

// outcomeOfAnswer is the outcome of a whole answer of a back end.
func outcomeOfAnswer(answer *kernel.Answer) balance.Outcome {
	if answer.Failed() && !answer.Inherited {
		return balance.Faulty
	}
	return balance.Answered
}
