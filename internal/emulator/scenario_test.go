package emulator

import "time"

// scenario is a course of demand and of one fault.
type scenario struct {
	name  string
	load  float64 // demand before and after the fault, as a share of capacity
	surge float64 // demand during the fault, as a share of capacity
	slow  float64 // factor of the work of the last service during the fault
	// retry makes callers repeat what failed at once, up to callerRetries times.
	retry bool
}

const callerRetries = 3

// Times of a scenario, from its start.
const (
	faultBegin = 5 * time.Second
	faultEnd   = 15 * time.Second
	finish     = 20 * time.Second // the last user request is sent
	// drain is the time after finish in which requests that were sent still end.
	drain = 10 * time.Second
)

// play runs the scenario in a mesh.
func (s scenario) play(w *world) {
	last := w.mesh.services[len(w.mesh.services)-1].name
	w.After(faultBegin, func() { w.setSlow(last, s.slow) })
	w.After(faultEnd, func() { w.setSlow(last, 1) })
	for kind := range w.mesh.kinds {
		w.arrive(s, kind)
	}
	w.Run(finish + drain)
}

// demand returns the rate of user requests of a kind at a time.
func (s scenario) demand(w *world, kind int, at time.Duration) float64 {
	share := w.mesh.kinds[kind].share * w.capacity
	if at < faultBegin || at >= faultEnd {
		return s.load * share
	}
	return s.surge * share
}

// arrive sends user requests of a kind as a Poisson process.
func (w *world) arrive(s scenario, kind int) {
	rate := s.demand(w, kind, w.Elapsed())
	w.After(w.exponential(time.Duration(float64(time.Second)/rate)), func() {
		if w.Elapsed() >= finish {
			return
		}
		w.arrive(s, kind)
		w.sendAs(s, kind, 0)
	})
}

// sendAs sends a user request, and again when it fails and callers retry.
func (w *world) sendAs(s scenario, kind int, earlier int) {
	sent := w.Elapsed()
	w.send(kind, func(ok bool) {
		w.outcomes = append(w.outcomes, outcome{sent: sent, ended: w.Elapsed(), kind: kind, completed: ok, first: earlier == 0})
		if !ok && s.retry && earlier < callerRetries {
			w.sendAs(s, kind, earlier+1)
		}
	})
}
