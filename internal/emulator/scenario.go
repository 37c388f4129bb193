package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// Scenario is a course of demand and faults.
type Scenario struct {
	Name string
	Text string
	Mesh func() Mesh

	load     float64       // demand before and after, as a share of capacity
	surge    float64       // demand during the fault, as a share of capacity
	hard     bool          // callers repeat what failed, at once, up to 3 times
	begin    time.Duration // of the fault
	end      time.Duration
	finish   time.Duration
	slow     float64 // factor of the work of the last service of the first chain, 0: none
	fault    func(*world)
	mend     func(*world)
	flood    int // kind that the surge consists of, -1: all kinds
	deepName string
}

const (
	faultBegin = 10 * time.Second
	faultEnd   = 40 * time.Second
	playEnd    = 70 * time.Second
)

func constant(name, text string, factor float64) Scenario {
	return Scenario{Name: name, Text: text, Mesh: Chain, load: 0.7, surge: factor, begin: faultBegin, end: faultEnd, finish: playEnd, flood: -1}
}

// Scenarios are the courses that are played.
var Scenarios = []Scenario{
	constant("normal", "chain of four, demand at 0.7 of capacity all the time", 0.7),
	constant("demand-1.5", "chain of four, demand at 1.5 times capacity for 30 s", 1.5),
	constant("demand-3", "chain of four, demand at 3 times capacity for 30 s", 3),
	constant("demand-10", "chain of four, demand at 10 times capacity for 30 s", 10),
	{Name: "trigger", Text: "chain of four: the deepest service slows 5 times while demand doubles and callers retry hard, for 30 s",
		Mesh: Chain, load: 0.7, surge: 1.4, hard: true, begin: faultBegin, end: faultEnd, finish: playEnd, slow: 5, flood: -1, deepName: "d"},
	{Name: "vodorez", Text: "the ferry mesh: fares slow 5 times while demand doubles and callers retry hard, for 30 s",
		Mesh: Vodorez, load: 0.7, surge: 1.4, hard: true, begin: faultBegin, end: faultEnd, finish: playEnd, slow: 5, flood: -1, deepName: "fares"},
	{Name: "cofrestr", Text: "the vehicle mesh: the register slows 5 times while demand doubles and callers retry hard, for 30 s",
		Mesh: Cofrestr, load: 0.7, surge: 1.4, hard: true, begin: faultBegin, end: faultEnd, finish: playEnd, slow: 5, flood: -1, deepName: "register"},
	{Name: "frozen", Text: "chain of four: one back end of the deepest service freezes for 30 s, demand at 0.6 of capacity",
		Mesh: Chain, load: 0.6, surge: 0.6, hard: true, begin: faultBegin, end: faultEnd, finish: playEnd, flood: -1,
		fault: func(w *world) { w.backends["d"][0].frozen = true },
		mend:  func(w *world) { w.backends["d"][0].thaw(w) }},
	{Name: "zone-lost", Text: "chain of four: a zone is lost for good, demand at 0.6 of capacity",
		Mesh: Chain, load: 0.6, surge: 0.6, hard: true, begin: faultBegin, end: faultEnd, finish: playEnd, flood: -1,
		fault: func(w *world) { w.loseZone(0) }},
	{Name: "cold", Text: "the ferry mesh: a third of booking is replaced by cold back ends, 10 times as slow at first, demand at 0.7 of capacity",
		Mesh: Vodorez, load: 0.7, surge: 0.7, hard: true, begin: faultBegin, end: faultEnd, finish: playEnd, flood: -1,
		fault: func(w *world) { w.replaceCold("booking") }},
	{Name: "bulk-flood", Text: "the vehicle mesh: exports alone at 3 times the capacity of the mesh for 30 s, on top of the demand",
		Mesh: Cofrestr, load: 0.6, surge: 3, begin: faultBegin, end: faultEnd, finish: playEnd, flood: 3},
}

// FindScenario returns the scenario with the given name.
func FindScenario(name string) (Scenario, bool) {
	for _, scenario := range Scenarios {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}

// thaw lets a frozen back end go on with nothing in it.
func (b *backend) thaw(w *world) {
	b.frozen = false
	b.busy = 0
	b.connections = 0
	b.waiting = nil
	if b.controller != nil {
		b.controller = w.newBackend(b.service, 0).controller
	}
}

// gossipTime is how long the mesh takes to learn of an end.
const gossipTime = 4 * time.Second

// loseZone ends all back ends of a zone.
func (w *world) loseZone(zone int) {
	for _, service := range w.mesh.Services {
		for _, b := range w.backends[service.Name] {
			if b.zone == zone {
				b.gone = true
				b.waiting = nil
			}
		}
		w.membershipChanged(service.Name, gossipTime)
	}
}

const (
	coldFactor = 10.0
	coldTime   = 10 * time.Second
)

// replaceCold replaces the first back end of a service by one that starts cold
// and warms up.
func (w *world) replaceCold(service string) {
	old := w.backends[service][0]
	old.gone = true
	cold := w.newBackend(old.service, 0)
	cold.id += "-new"
	cold.slow = coldFactor
	w.backends[service][0] = cold
	w.membershipChanged(service, time.Second)
	for step := range 10 {
		w.After(coldTime*time.Duration(step+1)/10, func() {
			cold.slow = 1 + (coldFactor-1)*float64(9-step)/10
		})
	}
}

// play runs a scenario.
func (s Scenario) play(w *world) {
	w.After(s.begin, func() { s.beginFault(w) })
	w.After(s.end, func() { s.endFault(w) })
	for kind := range w.mesh.Kinds {
		w.arrive(s, kind)
	}
	w.Run(s.finish + 10*time.Second)
}

func (s Scenario) beginFault(w *world) {
	if s.slow > 0 {
		w.setSlow(s.deepName, s.slow)
	}
	if s.fault != nil {
		s.fault(w)
	}
}

func (s Scenario) endFault(w *world) {
	if s.slow > 0 {
		w.setSlow(s.deepName, 1)
	}
	if s.mend != nil {
		s.mend(w)
	}
}

func (w *world) setSlow(service string, factor float64) {
	for _, b := range w.backends[service] {
		b.slow = factor
	}
}

// demand returns the rate of user requests of a kind at a time.
func (s Scenario) demand(w *world, kind int, at time.Duration) float64 {
	share := w.mesh.Kinds[kind].Share * w.capacity
	if at < s.begin || at >= s.end {
		return s.load * share
	}
	if s.flood >= 0 {
		if kind == s.flood {
			return s.load*share + s.surge*w.capacity
		}
		return s.load * share
	}
	return s.surge * share
}

// arrive sends user requests of a kind as a Poisson process.
func (w *world) arrive(s Scenario, kind int) {
	rate := s.demand(w, kind, w.Elapsed())
	w.After(w.exponential(time.Duration(float64(time.Second)/rate)), func() {
		if w.Elapsed() >= s.finish {
			return
		}
		w.arrive(s, kind)
		w.sendAs(s, kind, 0)
	})
}

const hardRetries = 3

// sendAs sends a user request, and again when callers retry hard.
func (w *world) sendAs(s Scenario, kind int, earlier int) {
	sent := w.Elapsed()
	w.send(kind, func(ok bool) {
		w.outcomes = append(w.outcomes, outcome{sent: sent, ended: w.Elapsed(), kind: kind, completed: ok, first: earlier == 0})
		if !ok && s.hard && earlier < hardRetries {
			w.sendAs(s, kind, earlier+1)
		}
	})
}

// ClassResult is the success of one class while the fault lasts.
type ClassResult struct {
	Class   string  `json:"class"`
	Success float64 `json:"success"` // share of user requests, repetitions by callers left out
}

// Result is the outcome of one arm in one scenario.
type Result struct {
	Scenario string        `json:"scenario"`
	Arm      string        `json:"arm"`
	Seed     uint64        `json:"seed"`
	Goodput  float64       `json:"goodput"`             // of whole requests, share of the perfect shedder
	Recovery float64       `json:"recovery_s"`          // to 95% success after the fault, -1: not within the play
	Classes  []ClassResult `json:"classes"`             // while the fault lasts
	Wasted   float64       `json:"wasted"`              // share of back end work
	Retries  float64       `json:"retries"`             // for each user request
	Before   float64       `json:"success_before"`      // share of requests
	Capacity float64       `json:"capacity_s"`          // user requests a second
	Limit    int           `json:"final_limit_deepest"` // of one back end
}

// Play plays one scenario with one arm.
func Play(s Scenario, arm Arm, seed uint64) Result {
	w := newWorld(s.Mesh(), arm, seed)
	s.play(w)
	result := Result{Scenario: s.Name, Arm: arm.Name, Seed: seed, Capacity: w.capacity}
	result.Goodput = s.goodput(w)
	result.Recovery = s.recovery(w)
	result.Classes = s.classes(w)
	if total := w.useful + w.wasted; total > 0 {
		result.Wasted = w.wasted.Seconds() / total.Seconds()
	}
	result.Retries = float64(w.retries) / float64(max(len(w.outcomes), 1))
	result.Before = w.success(2*time.Second, s.begin)
	last := w.mesh.Services[len(w.mesh.Services)-1].Name
	if controller := w.backends[last][0].controller; controller != nil {
		result.Limit = controller.State(w.Now()).Limit
	}
	return result
}

// perfect returns how many requests a perfect shedder could complete while the
// fault lasts: it serves the classes in order, the most important first, and
// wastes nothing.
func (s Scenario) perfect(w *world) float64 {
	mesh := s.Mesh()
	left := map[string]float64{} // slot seconds a second
	for i := range mesh.Services {
		service := &mesh.Services[i]
		if s.slow > 0 && service.Name == s.deepName {
			service.Work = time.Duration(float64(service.Work) * s.slow)
		}
		left[service.Name] = float64(service.Backends * service.Slots)
	}
	rate := 0.0
	for class := policy.Critical; class >= policy.Bulk; class-- {
		for kind, model := range mesh.Kinds {
			if model.Class == class {
				rate += mesh.take(left, model, s.demand(w, kind, s.begin))
			}
		}
	}
	return rate * (s.end - s.begin).Seconds()
}

// take serves as much of a demand as the services of its chain have left.
func (m Mesh) take(left map[string]float64, kind Kind, demand float64) float64 {
	rate := demand
	for _, name := range kind.Chain {
		rate = min(rate, left[name]/m.find(name).Work.Seconds())
	}
	for _, name := range kind.Chain {
		left[name] -= rate * m.find(name).Work.Seconds()
	}
	return rate
}

// goodput is the completed requests of the fault's time as a share of what a
// perfect shedder could complete. The first second is left out: what was sent
// before still ends then.
func (s Scenario) goodput(w *world) float64 {
	const settle = time.Second
	count := 0
	for _, o := range w.outcomes {
		if o.completed && o.ended >= s.begin+settle && o.ended < s.end {
			count++
		}
	}
	share := (s.end - s.begin - settle).Seconds() / (s.end - s.begin).Seconds()
	return float64(count) / (s.perfect(w) * share)
}

// success is the share of requests sent in a span that completed.
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
	recoveryStep  = 100 * time.Millisecond
	recoverySpan  = time.Second
	recoveryShare = 0.95
)

// recovery is the time after the fault from which on a second's requests
// complete as before, up to 95%.
func (s Scenario) recovery(w *world) float64 {
	target := recoveryShare * w.success(2*time.Second, s.begin)
	for at := s.end; at+recoverySpan <= s.finish; at += recoveryStep {
		if w.success(at, at+recoverySpan) >= target {
			return (at - s.end).Seconds()
		}
	}
	return -1
}

func (s Scenario) classes(w *world) []ClassResult {
	results := []ClassResult{}
	for class := 3; class >= 0; class-- {
		sent, completed := 0, 0
		for _, o := range w.outcomes {
			inFault := o.sent >= s.begin && o.sent < s.end
			if inFault && o.first && int(w.mesh.Kinds[o.kind].Class) == class {
				sent++
				if o.completed {
					completed++
				}
			}
		}
		if sent > 0 {
			name := w.mesh.className(class)
			results = append(results, ClassResult{Class: name, Success: float64(completed) / float64(sent)})
		}
	}
	return results
}

func (m Mesh) className(class int) string {
	for _, kind := range m.Kinds {
		if int(kind.Class) == class {
			return kind.Class.String()
		}
	}
	return ""
}
