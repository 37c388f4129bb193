// Package retry sends calls again within the retry budgets. Package retry at the root
// decides when; this package makes the attempts, waits between rounds of offers and pays
// for retries. It relies on package retrybudget for what is left to spend.
package retry

import "github.com/loomcleat/loomcleat/kernel"

const name = "retry"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	r := &retrier{process: process, limiter: newLimiter(process)}
	process.UseOutbound(name, r.middleware)
	return nil
}
