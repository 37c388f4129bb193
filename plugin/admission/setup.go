// Package admission admits requests to the back end of a node: a request gets one of the back
// end's slots, waits for one, or is refused.
//
// The decisions are made by package admission at the root, which reads no clock. This package
// passes it the time, owns the goroutines that wait and the slots in use, and reports the load
// of the back end.
package admission

import (
	"time"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/kernel"
)

const name = "admission"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.IsNode() {
		return nil
	}
	a := &admitter{
		process:    process,
		controller: admission.NewController(time.Now(), admission.Config{RateLimit: process.RateLimit}),
	}
	process.UseInbound(name, a.middleware)
	process.SetOccupancy(a.occupancy)
	process.OnStatus(a.fillStatus)
	a.registerMetrics(process.Metrics)
	return nil
}
