// Package admission lets requests wait for a slot beside the back end of a node, or
// refuses them. Package admission at the root decides; this package owns the waiting
// requests and the slots that are taken, tells the decisions the time, and reports how
// busy the back end is.
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
		controller: admission.NewController(time.Now(), admission.Config{}),
	}
	process.UseInbound(name, a.middleware)
	process.SetOccupancy(a.occupancy)
	process.OnStatus(a.fillStatus)
	a.registerMetrics(process.Metrics)
	return nil
}
