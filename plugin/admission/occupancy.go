package admission

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

// occupancy returns the load of the back end. It logs when overload begins or ends.
func (a *admitter) occupancy(now time.Time) kernel.Occupancy {
	state := a.controller.State(now)
	level := state.Level
	overloaded := level > 0
	if a.overloaded.Load() != overloaded && a.overloaded.CompareAndSwap(!overloaded, overloaded) {
		a.process.Log.Emit(event.AdmissionLevelSet, "overloaded", overloaded, "level", level)
	}
	load := float64(state.InFlight+state.Waiting) / float64(max(state.Limit, 1))
	load = max(load, a.reportedLoad(now))
	return kernel.Occupancy{Level: level, Load: load, FaultRate: a.faults.at(now)}
}

// maximumReportAge is the age up to which the load that the back end reported is used. Every
// answer reports the load, so an older report means that the back end has stopped answering.
const maximumReportAge = 500 * time.Millisecond

// reportedLoad returns the load that the back end reported, 0 if there is no recent report. It
// can exceed the load that this node counts, since a request whose caller gave up may still
// occupy a slot of the back end.
func (a *admitter) reportedLoad(now time.Time) float64 {
	reported := a.process.BackEndLoad.Load()
	if reported == nil || now.Sub(reported.At) > maximumReportAge {
		return 0
	}
	return reported.Share()
}

func (a *admitter) fillStatus(status *wire.Status) {
	state := a.controller.State(time.Now())
	status.Limit, status.Level = state.Limit, state.Level
}

func (a *admitter) registerMetrics(registry *prometheus.Registry) {
	gauge := func(name, help string, value func(admission.State) int) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return float64(value(a.controller.State(time.Now()))) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "loomcleat_backend_rate_limit",
		Help: "Requests a second that the back end takes from all processes together, +Inf for no limit.",
	}, a.rateLimit))
	gauge("loomcleat_admission_limit", "Requests that may be in flight to the back end.", func(s admission.State) int { return s.Limit })
	gauge("loomcleat_admission_in_flight", "Requests in flight to the back end.", func(s admission.State) int { return s.InFlight })
	gauge("loomcleat_admission_waiting", "Requests waiting for a place.", func(s admission.State) int { return s.Waiting })
	gauge("loomcleat_admission_level", "Priority below which requests are refused, 0 to 1024.", func(s admission.State) int { return s.Level })
}

// rateLimit returns the rate limit of the back end in requests per second, +Inf for no limit.
func (a *admitter) rateLimit() float64 {
	if limit, limited := a.process.RateLimit.Limit(); limited {
		return float64(limit)
	}
	return math.Inf(1)
}
