package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

// TestLoadIsWhatRunsAndWaits as a share of the places, above 1 when requests wait.
func TestLoadIsWhatRunsAndWaits(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := &admitter{
		process:    &kernel.Process{Log: event.Discard()},
		controller: admission.NewController(now, admission.Config{MinimumLimit: 4, MaximumLimit: 4, QueueTime: time.Minute}),
	}
	is.Equal(a.occupancy(now).Load, 0.0)
	for count, load := range []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5} {
		a.controller.Ask(now, admission.Request{Priority: admission.MaximumPriority}, func(admission.Verdict) {})
		if got := a.occupancy(now).Load; got != load {
			t.Errorf("%d requests are a load of %.2f, not %.2f", count+1, got, load)
		}
	}
}

// TestTheReportedLoadCounts beside what the node has handed over, while it is fresh.
func TestTheReportedLoadCounts(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		running int
		age     time.Duration
		want    float64
	}{
		{"more than was handed over", 3, 0, 0.75},
		{"less than was handed over", 1, 0, 0.5},
		{"old", 4, time.Minute, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := &admitter{
				process:    &kernel.Process{Log: event.Discard()},
				controller: admission.NewController(now, admission.Config{MinimumLimit: 4, MaximumLimit: 4}),
			}
			for range 2 {
				a.controller.Ask(now, admission.Request{}, func(admission.Verdict) {})
			}
			a.process.BackEndLoad.Store(&kernel.ReportedLoad{BackEndLoad: wire.BackEndLoad{Running: c.running, Slots: 4}, At: now.Add(-c.age)})
			is.Equal(a.occupancy(now).Load, c.want)
		})
	}
}
