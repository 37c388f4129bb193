package routing

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

// TestOutcomeOf guards against blaming a node for errors that the request or its caller caused. A
// refused connection is a failure of the node although the request did not run.
func TestOutcomeOf(t *testing.T) {
	is := is.New(t)
	exceptions := map[result.Code]balance.Outcome{
		result.CallerGone:         balance.Unknown,
		result.CallerCancelled:    balance.Unknown,
		result.DeadlineTooShort:   balance.Unknown,
		result.RequestQuarantined: balance.Unknown,
		result.NodeRefused:        balance.Failed,
	}
	call := &kernel.Call{Context: context.Background()}
	for _, definition := range result.Table {
		for _, ran := range []bool{false, true} {
			want, exists := exceptions[definition.Code]
			switch {
			case exists:
			case definition.NotRun && !ran:
				want = balance.Refused
			default:
				want = balance.Failed
			}
			is.Equal(outcomeOf(call, &result.Error{Code: definition.Code, Ran: ran}), want)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(outcomeOf(&kernel.Call{Context: ctx}, result.New(result.ConnectionLost, "test")), balance.Unknown)
}
