package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// figures are the results of a scenario.
type figures struct {
	// Completed user requests, as a share of those that an ideal load shedder completes.
	goodput float64
	// Seconds from the end of the fault until success reaches recoveryShare of the
	// success before it; -1 if it does not.
	recovery float64
	classes  []classSuccess
	// Share of the back ends' work that was done for requests that did not complete.
	wasted float64
	// Retries per user request.
	retries float64
}

// classSuccess is the success of one class during the fault.
type classSuccess struct {
	class   policy.Class
	success float64 // completed share of the user requests, without retries by clients
}

// simulate runs a scenario in a new cluster and returns its figures.
func simulate(s scenario, seed uint64) figures {
	c := newCluster(chain(), seed)
	s.simulate(c)
	result := figures{
		goodput:  s.goodput(c),
		recovery: c.recovery(),
		classes:  c.classes(),
		retries:  float64(c.retries) / float64(max(len(c.outcomes), 1)),
	}
	if total := c.useful + c.wasted; total > 0 {
		result.wasted = c.wasted.Seconds() / total.Seconds()
	}
	return result
}

// idealCompletions returns how many requests an ideal load shedder completes during the
// fault: it serves the classes in the order of their importance and wastes no work.
func (s scenario) idealCompletions(c *cluster) float64 {
	services := chain().services
	services[len(services)-1].work = time.Duration(float64(services[len(services)-1].work) * s.slowdown)
	remaining := map[string]float64{} // slot seconds per second
	for _, service := range services {
		remaining[service.name] = float64(service.backends * service.slots)
	}
	rate := 0.0
	for kind := range c.mesh.kinds { // most important class first
		served := s.demand(c, kind, faultBegin)
		for _, service := range services {
			served = min(served, remaining[service.name]/service.work.Seconds())
		}
		for _, service := range services {
			remaining[service.name] -= served * service.work.Seconds()
		}
		rate += served
	}
	return rate * (faultEnd - faultBegin).Seconds()
}

// goodput returns the completed requests during the fault as a share of idealCompletions.
// The first second is left out: requests sent before the fault still complete in it.
func (s scenario) goodput(c *cluster) float64 {
	const settle = time.Second
	count := 0
	for _, o := range c.outcomes {
		if o.completed && o.ended >= faultBegin+settle && o.ended < faultEnd {
			count++
		}
	}
	share := (faultEnd - faultBegin - settle).Seconds() / (faultEnd - faultBegin).Seconds()
	return float64(count) / (s.idealCompletions(c) * share)
}

// success returns the completed share of the requests sent in [from, to), or 1 if none were sent.
func (c *cluster) success(from, to time.Duration) float64 {
	sent, completed := 0, 0
	for _, o := range c.outcomes {
		if o.sent >= from && o.sent < to {
			sent++
			if o.completed {
				completed++
			}
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(completed) / float64(sent)
}

const (
	// warmUp is excluded from the success before the fault: the limits have not settled.
	warmUp        = 2 * time.Second
	recoveryStep  = 100 * time.Millisecond
	recoverySpan  = time.Second
	recoveryShare = 0.95
)

// recovery returns the seconds from the end of the fault to the first recoverySpan whose
// success reaches recoveryShare of the success before the fault, or -1 if there is none.
func (c *cluster) recovery() float64 {
	target := recoveryShare * c.success(warmUp, faultBegin)
	for at := faultEnd; at+recoverySpan <= loadEnd; at += recoveryStep {
		if c.success(at, at+recoverySpan) >= target {
			return (at - faultEnd).Seconds()
		}
	}
	return -1
}

// classes returns the success of each kind during the fault. Each kind has a class of its
// own.
func (c *cluster) classes() []classSuccess {
	result := []classSuccess{}
	for kind, model := range c.mesh.kinds {
		sent, completed := 0, 0
		for _, o := range c.outcomes {
			if o.kind != kind || !o.first || o.sent < faultBegin || o.sent >= faultEnd {
				continue
			}
			sent++
			if o.completed {
				completed++
			}
		}
		result = append(result, classSuccess{class: model.class, success: float64(completed) / float64(max(sent, 1))})
	}
	return result
}
