// Package retry retries calls within the retry budgets. Package retry at the root decides when
// to retry; this package makes the attempts, pauses between rounds of attempts and charges
// retries to the budgets.
//
// It owns the retry budgets of this process, which package retrybudget implements.
package retry

import "github.com/loomcleat/loomcleat/kernel"

const name = "retry"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	r := &retrier{process: process, limiter: newLimiter(process)}
	process.UseOutbound(name, r.middleware)
	return nil
}
