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

// TestLoadCountsRunningAndWaiting guards against a load that stays at 1 while requests wait.
func TestLoadCountsRunningAndWaiting(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := &admitter{
		process:    &kernel.Process{Log: event.Discard()},
		controller: admission.NewController(now, admission.Config{MinimumLimit: 4, MaximumLimit: 4, QueueTime: time.Minute}),
	}
	is.Equal(a.occupancy(now).Load, 0.0)
	for count, load := range []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5} {
		a.controller.Submit(now, admission.Request{Priority: admission.MaximumPriority}, func(admission.Verdict) {})
		if got := a.occupancy(now).Load; got != load {
			t.Errorf("load with %d requests = %.2f, want %.2f", count+1, got, load)
		}
	}
}

// TestReportedLoad checks that the load that the back end reported counts if it is recent and
// exceeds what the node has sent.
func TestReportedLoad(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		running int
		age     time.Duration
		want    float64
	}{
		{"more than the node sent", 3, 0, 0.75},
		{"less than the node sent", 1, 0, 0.5},
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
				a.controller.Submit(now, admission.Request{}, func(admission.Verdict) {})
			}
			a.process.BackEndLoad.Store(&kernel.ReportedLoad{BackEndLoad: wire.BackEndLoad{Running: c.running, Slots: 4}, At: now.Add(-c.age)})
			is.Equal(a.occupancy(now).Load, c.want)
		})
	}
}
