package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// figures are the outcome of a scenario.
type figures struct {
	goodput  float64 // completed user requests, as a share of what a perfect shedder completes
	recovery float64 // seconds from the end of the fault to recoveryShare of the success before it, -1: never
	classes  []classSuccess
	wasted   float64 // share of the back ends' work done for requests that did not complete
	retries  float64 // for each user request
}

// classSuccess is the success of one class while the fault lasts.
type classSuccess struct {
	class   policy.Class
	success float64 // share of user requests, without those that callers repeated
}

// play plays a scenario in a chain.
func play(s scenario, seed uint64) figures {
	w := newWorld(chain(), seed)
	s.play(w)
	found := figures{
		goodput:  s.goodput(w),
		recovery: w.recovery(),
		classes:  w.classes(),
		retries:  float64(w.retries) / float64(max(len(w.outcomes), 1)),
	}
	if total := w.useful + w.wasted; total > 0 {
		found.wasted = w.wasted.Seconds() / total.Seconds()
	}
	return found
}

// perfect returns how many requests a perfect shedder completes while the fault
// lasts: it serves the classes in order, the most important first, and wastes
// nothing.
func (s scenario) perfect(w *world) float64 {
	services := chain().services
	services[len(services)-1].work = time.Duration(float64(services[len(services)-1].work) * s.slow)
	left := map[string]float64{} // slot seconds a second
	for _, service := range services {
		left[service.name] = float64(service.backends * service.slots)
	}
	rate := 0.0
	for kind := range w.mesh.kinds { // in the order of their classes
		served := s.demand(w, kind, faultBegin)
		for _, service := range services {
			served = min(served, left[service.name]/service.work.Seconds())
		}
		for _, service := range services {
			left[service.name] -= served * service.work.Seconds()
		}
		rate += served
	}
	return rate * (faultEnd - faultBegin).Seconds()
}

// goodput leaves out the first second of the fault, in which what was sent before
// it still ends.
func (s scenario) goodput(w *world) float64 {
	const settle = time.Second
	count := 0
	for _, o := range w.outcomes {
		if o.completed && o.ended >= faultBegin+settle && o.ended < faultEnd {
			count++
		}
	}
	share := (faultEnd - faultBegin - settle).Seconds() / (faultEnd - faultBegin).Seconds()
	return float64(count) / (s.perfect(w) * share)
}

// success returns the share of requests sent in a span that completed.
func (w *world) success(from, to time.Duration) float64 {
	sent, completed := 0, 0
	for _, o := range w.outcomes {
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
	// warmUp is left out of the success before the fault: limits are still unknown.
	warmUp        = 2 * time.Second
	recoveryStep  = 100 * time.Millisecond
	recoverySpan  = time.Second
	recoveryShare = 0.95
)

// recovery returns the seconds after the fault from which on the requests of a
// second complete as before it, up to recoveryShare.
func (w *world) recovery() float64 {
	target := recoveryShare * w.success(warmUp, faultBegin)
	for at := faultEnd; at+recoverySpan <= finish; at += recoveryStep {
		if w.success(at, at+recoverySpan) >= target {
			return (at - faultEnd).Seconds()
		}
	}
	return -1
}

// classes returns the success of each kind, which has a class of its own.
func (w *world) classes() []classSuccess {
	found := []classSuccess{}
	for kind, model := range w.mesh.kinds {
		sent, completed := 0, 0
		for _, o := range w.outcomes {
			if o.kind != kind || !o.first || o.sent < faultBegin || o.sent >= faultEnd {
				continue
			}
			sent++
			if o.completed {
				completed++
			}
		}
		found = append(found, classSuccess{class: model.class, success: float64(completed) / float64(max(sent, 1))})
	}
	return found
}
