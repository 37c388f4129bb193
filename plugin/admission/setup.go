// Package admission lets requests wait for a place beside the back end, or
// refuses them. The decisions are made by package admission at the root.
package admission

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/admission"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "admission"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.IsNode() {
		return nil
	}
	p := &plugin{
		process:    process,
		controller: admission.NewController(time.Now(), admission.Config{}),
	}
	process.UseInbound(name, p.middleware)
	process.SetOccupancy(p.occupancy)
	process.OnStatus(p.fillStatus)
	p.registerMetrics(process.Metrics)
	return nil
}

// plugin is the admission of one node.
type plugin struct {
	process    *kernel.Process
	controller *admission.Controller
	bounds     bounds
	faults     faults
	mutex      sync.Mutex
	overloaded atomic.Bool
}

// bounds are the settings that the controller was last given.
type bounds struct {
	minimum, maximum int
	queueTime        time.Duration
}

// occupancy returns how busy the back end is and logs when overload begins or ends.
func (p *plugin) occupancy(now time.Time) kernel.Occupancy {
	state := p.controller.State(now)
	level := state.Level
	overloaded := level > 0
	if p.overloaded.Load() != overloaded && p.overloaded.CompareAndSwap(!overloaded, overloaded) {
		p.process.Log.Emit(event.AdmissionLevelSet, "overloaded", overloaded, "level", level)
	}
	load := float64(state.InFlight+state.Waiting) / float64(max(state.Limit, 1))
	load = max(load, p.toldLoad(now))
	return kernel.Occupancy{Level: level, Load: load, Faults: p.faults.at(now)}
}

// toldLoadAge is how long what the back end told of its load is believed. It comes with
// every answer, so that an older one is of a back end that does not answer.
const toldLoadAge = 500 * time.Millisecond

// toldLoad is the load that the back end told of itself, 0 when it has not lately. It
// counts beside what this node has handed to it: a request that was given up may hold a
// slot still.
func (p *plugin) toldLoad(now time.Time) float64 {
	told := p.process.BackEndLoad.Load()
	if told == nil || now.Sub(told.At) > toldLoadAge {
		return 0
	}
	return told.Share()
}

func (p *plugin) fillStatus(status *wire.Status) {
	state := p.controller.State(time.Now())
	status.Limit, status.Level = state.Limit, state.Level
}

func (p *plugin) registerMetrics(registry *prometheus.Registry) {
	gauge := func(name, help string, value func(admission.State) int) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return float64(value(p.controller.State(time.Now()))) }))
	}
	gauge("loomcleat_admission_limit", "Requests that may be in flight to the back end.", func(s admission.State) int { return s.Limit })
	gauge("loomcleat_admission_in_flight", "Requests in flight to the back end.", func(s admission.State) int { return s.InFlight })
	gauge("loomcleat_admission_waiting", "Requests waiting for a place.", func(s admission.State) int { return s.Waiting })
	gauge("loomcleat_admission_level", "Priority below which requests are refused, 0 to 1024.", func(s admission.State) int { return s.Level })
}

func (p *plugin) middleware(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		p.setBounds(call)
		asked := time.Now()
		ticket, err := p.wait(call)
		call.Execution.NotePressure(admission.WaitPressure(time.Since(asked), call.Policy.QueueTime, err != nil))
		if err != nil {
			return nil, err
		}
		return p.run(next, call, ticket)
	})
}

// setBounds passes changed settings of the service to the controller.
func (p *plugin) setBounds(call *kernel.Call) {
	wanted := bounds{call.Policy.ConcurrencyMin, call.Policy.ConcurrencyMax, call.Policy.QueueTime}
	if slots := p.slots(); slots > 0 {
		wanted.minimum, wanted.maximum = slots, slots
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if wanted == p.bounds {
		return
	}
	p.bounds = wanted
	p.controller.SetBounds(wanted.minimum, wanted.maximum, wanted.queueTime)
}

// slots is the number of the back end's slots that are used, 0 when it does not tell its
// slots. It needs no search for the limit then.
func (p *plugin) slots() int {
	if p.process.BackEnd == nil {
		return 0
	}
	return admission.UsableSlots(p.process.BackEnd.State().Slots)
}

// wait waits for a place.
func (p *plugin) wait(call *kernel.Call) (*admission.Ticket, error) {
	verdicts := make(chan admission.Verdict, 1)
	request := admission.Request{
		Priority:  call.Priority,
		Deadline:  time.Now().Add(call.Deadline.Left()), // by the clock that measures work
		Committed: call.Committed(),
		Patience:  admission.PatienceOf(call.Policy.TargetLatency),
	}
	ticket := p.controller.Ask(time.Now(), request, func(verdict admission.Verdict) { verdicts <- verdict })
	select {
	case verdict := <-verdicts:
		return ticket, refusal(verdict)
	default:
	}
	// The controller has no clock: it is told when a request has waited enough.
	// One that may wait as long as it has time is ended by its context.
	waited := time.NewTimer(call.Policy.QueueTime)
	defer waited.Stop()
	if request.Committed {
		waited.Stop()
	}
	for {
		select {
		case verdict := <-verdicts:
			return ticket, refusal(verdict)
		case <-waited.C:
			p.controller.Expire(time.Now())
			waited.Reset(expireAgain)
		case <-call.Context.Done():
			return nil, p.withdraw(call, ticket, verdicts)
		}
	}
}

// expireAgain is when the controller is told again, in case the settings gave
// the request more time than its own policy says.
const expireAgain = 10 * time.Millisecond

// withdraw gives up waiting. The place may have come at the same moment.
func (p *plugin) withdraw(call *kernel.Call, ticket *admission.Ticket, verdicts <-chan admission.Verdict) error {
	if !p.controller.Withdraw(ticket) && <-verdicts == admission.Admitted {
		p.controller.Done(time.Now(), ticket, admission.Outcome{})
	}
	if context.Cause(call.Context) == context.DeadlineExceeded {
		return result.New(result.DeadlineTooShort, "the deadline passed while waiting for a place")
	}
	return result.New(result.CallerGone, "the caller went away while waiting for a place")
}

func refusal(verdict admission.Verdict) error {
	switch verdict {
	case admission.Admitted:
		return nil
	case admission.TooLate:
		return result.New(result.DeadlineTooShort, "the back end would not answer within the time left")
	case admission.BelowLevel:
		return result.New(result.Overloaded, "the priority is below the admission level").WithUsualRetryAfter()
	default:
		return result.New(result.Overloaded, "no place became free in time").WithUsualRetryAfter()
	}
}

// place is a place beside the back end that is given back once.
type place struct {
	plugin  *plugin
	call    *kernel.Call
	ticket  *admission.Ticket
	started time.Time
	once    sync.Once
}

func (s *place) release(refused, counted bool) {
	s.once.Do(func() {
		now := time.Now()
		own := now.Sub(s.started) - s.call.Execution.Waited(now)
		s.plugin.controller.Done(now, s.ticket, admission.Outcome{Own: max(own, 0), Refused: refused, Counted: counted})
	})
}

// noteEnd records whether the back end failed the request by itself. One that the
// caller gave up says nothing.
func (s *place) noteEnd(failed bool) {
	if s.call.Context.Err() == nil {
		s.plugin.faults.learn(time.Now(), failed)
	}
}

// run passes the call on and gives the place back when the answer has been
// read.
func (p *plugin) run(next kernel.Handler, call *kernel.Call, ticket *admission.Ticket) (*kernel.Answer, error) {
	taken := &place{plugin: p, call: call, ticket: ticket, started: time.Now()}
	call.ReleasePlace = func() { taken.release(false, false) }
	answer, err := next.Handle(call)
	if err != nil {
		taken.release(false, result.From(err).Code == result.DeadlineExceeded)
		if isFault(err) {
			p.faults.learn(time.Now(), true)
		}
		return nil, err
	}
	// A back end that refuses answers fast; that time says nothing about it.
	refused := answer.StatusCode == 503 || answer.StatusCode == 429
	answer.Body = &placeBody{ReadCloser: answer.Body, place: taken, refused: refused, failed: isOwnFailure(call, answer)}
	return answer, nil
}

// placeBody gives the place back at the end of the body.
type placeBody struct {
	io.ReadCloser
	place   *place
	refused bool
	failed  bool // the answer tells of a failure of the back end itself
	ended   bool
}

// Read implements io.Reader.
func (b *placeBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !b.ended {
		b.ended = true
		whole := err == io.EOF
		b.place.release(b.refused, whole)
		b.place.noteEnd(b.failed || !whole)
	}
	return n, err
}

// Close implements io.Closer.
func (b *placeBody) Close() error {
	b.place.release(b.refused, false)
	return b.ReadCloser.Close()
}
