package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
)

// TestLoadIsWhatRunsAndWaits as a share of the places, above 1 when requests wait.
func TestLoadIsWhatRunsAndWaits(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := &plugin{
		process:    &kernel.Process{Log: event.Discard()},
		controller: admission.NewController(now, admission.Config{MinimumLimit: 4, MaximumLimit: 4, QueueTime: time.Minute}),
	}
	is.Equal(p.occupancy(now).Load, 0.0)
	for count, load := range []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5} {
		p.controller.Ask(now, admission.Request{Priority: admission.MaximumPriority}, func(admission.Verdict) {})
		if got := p.occupancy(now).Load; got != load {
			t.Errorf("%d requests are a load of %.2f, not %.2f", count+1, got, load)
		}
	}
}
