// Package emulator plays whole meshes under load in virtual time. Back ends,
// networks and callers are models; the decisions are made by the same code that
// runs in the daemon: admission, balance, retrybudget. The same seed gives the
// same result.
package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/loomcleat/loomcleat/internal/simulation"
)

// engine is a simulation with a source of random numbers.
type engine struct {
	*simulation.Engine
	random *rand.Rand
}

func newEngine(seed uint64) *engine {
	return &engine{Engine: simulation.New(), random: rand.New(rand.NewPCG(seed, 99))}
}

// exponential draws an exponentially distributed span with the given mean.
func (e *engine) exponential(mean time.Duration) time.Duration {
	return time.Duration(e.random.ExpFloat64() * float64(mean))
}
