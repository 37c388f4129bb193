package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/ratelimit"
)

// The rule that a fleet must keep, and how it is simulated.
const (
	fleetStep = 5 * time.Millisecond
	fleetTime = 40 * time.Second
	// ruleWindow is the length of the windows in which requests count; in each, the back end
	// may get ruleFactor times its limit and ruleSlack.
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
	// ruleDelay is the time after the beginning of a limit from which on the rule holds.
	ruleDelay = 3 * time.Second
	// ruleNotice is the time after which a process that was told of a limit is bound by it.
	ruleNotice = 500 * time.Millisecond
	// staleTime is the time after the end of a limit from which on no request may be refused
	// for it. A node that was restarted relies on what its callers know, which may be older,
	// until its back end has answered.
	staleTime = 12 * time.Second
)

// safeguard is a part of the mechanism that a test takes away.
type safeguard int

const (
	nothing safeguard = iota
	pacing
	memory
	orderOfAnswers
)

var safeguardNames = map[safeguard]string{nothing: "nothing", pacing: "pacing", memory: "memory", orderOfAnswers: "order of answers"}

// fleet is a back end, the node beside it, and the entries whose callers send requests.
type fleet struct {
	random  *rand.Rand
	without safeguard
	now     time.Time
	events  []fleetEvent

	// Limit of the back end, nil for none, and when it last changed.
	limit     *ratelimit.Rate
	changedAt time.Time
	// Time since which the back end has had a limit, nil if it has none.
	span        *limitedSpan
	incarnation int

	node    *fleetNode
	entries []*fleetEntry
	// Arrivals at the back end's present incarnation.
	arrivals []arrival
	// Arrivals and refusals of this step.
	arrived, refused int
}

type fleetEvent struct {
	at  time.Time
	run func()
}

type arrival struct {
	at    time.Time
	entry *fleetEntry
}

// fleetNode is one process of the node beside the back end.
type fleetNode struct {
	limiter *ratelimit.Limiter
	// The process runs again from this time on.
	frozenUntil time.Time
	upAt        time.Time
}

type fleetEntry struct {
	memory *instance.Memory
	rate   float64
	// When it passed on an answer of the present span, zero for never.
	toldAt      time.Time
	frozenUntil time.Time
	cutUntil    time.Time
}

const fleetAddress = "node"

func newFleet(seed uint64, without safeguard) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), without: without, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	f.node = f.newNode(f.now)
	total := 20 + 80*f.random.Float64()
	count := 1 + f.random.IntN(30)
	for range count {
		f.entries = append(f.entries, &fleetEntry{memory: &instance.Memory{}, rate: total / float64(count)})
	}
	return f
}

func (f *fleet) newNode(upAt time.Time) *fleetNode {
	n := &fleetNode{limiter: &ratelimit.Limiter{}, upAt: upAt}
	n.limiter.Begin(f.life())
	return n
}

func (f *fleet) life() string { return fmt.Sprint("i-", f.incarnation) }

func (f *fleet) after(delay time.Duration, run func()) {
	f.events = append(f.events, fleetEvent{at: f.now.Add(delay), run: run})
}

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Float64()*float64(high-low))
}

// run plays the whole time and returns the first violation, "" for none.
func (f *fleet) run() string {
	for elapsed := time.Duration(0); elapsed < fleetTime; elapsed += fleetStep {
		f.now = f.now.Add(fleetStep)
		f.changeLimit()
		f.strike()
		f.sendRequests()
		due := f.events
		f.events = nil
		for _, event := range due {
			if event.at.After(f.now) {
				f.events = append(f.events, event)
				continue
			}
			event.run()
		}
		f.recordLimit()
		if violation := f.check(); violation != "" {
			return fmt.Sprintf("after %v: %s", elapsed, violation)
		}
	}
	return ""
}

// happens reports an event of a mean rate per second.
func (f *fleet) happens(perSecond float64) bool {
	return f.random.Float64() < perSecond*fleetStep.Seconds()
}

// changeLimit lets the limit begin, fall, rise or end.
func (f *fleet) changeLimit() {
	if !f.happens(0.15) {
		return
	}
	f.changedAt = f.now
	if f.random.Float64() < 0.25 {
		f.limit = nil
		return
	}
	limit := ratelimit.Rate(10 * f.random.Float64() * f.random.Float64())
	f.limit = &limit
}

// strike restarts, freezes and cuts off processes, and restarts the back end.
func (f *fleet) strike() {
	if f.happens(0.15) {
		f.node = f.newNode(f.now.Add(f.between(100*time.Millisecond, 2*time.Second)))
	}
	if f.happens(0.05) {
		f.node.frozenUntil = f.now.Add(f.between(0, 5*time.Second))
	}
	if f.happens(0.03) {
		f.restartBackEnd()
	}
	entry := f.entries[f.random.IntN(len(f.entries))]
	switch {
	case f.happens(0.1):
		entry.memory, entry.toldAt = &instance.Memory{}, time.Time{}
	case f.happens(0.1):
		entry.frozenUntil = f.now.Add(f.between(0, 5*time.Second))
	case f.happens(0.1):
		entry.cutUntil = f.now.Add(f.between(0, 5*time.Second))
	}
}

func (f *fleet) restartBackEnd() {
	f.incarnation++
	f.limit, f.changedAt = nil, f.now
	f.arrivals, f.span = nil, nil
	f.node.limiter.Begin(f.life())
}

func (f *fleet) sendRequests() {
	for _, entry := range f.entries {
		for range poisson(f.random, entry.rate*fleetStep.Seconds()) {
			f.deliver(entry)
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	count, left := 0, random.ExpFloat64()
	for left < mean {
		count++
		left += random.ExpFloat64()
	}
	return count
}

// deliver sends a request from an entry to the node, as soon as the entry runs.
func (f *fleet) deliver(entry *fleetEntry) {
	if f.now.Before(entry.frozenUntil) {
		f.after(entry.frozenUntil.Sub(f.now), func() { f.deliver(entry) })
		return
	}
	if f.now.Before(entry.cutUntil) {
		return
	}
	sentAt := f.now
	declared, _ := entry.memory.Lookup(sentAt, fleetAddress)
	if f.without == memory {
		declared = instance.Declared{}
	}
	f.after(f.between(time.Millisecond, 20*time.Millisecond), func() { f.receive(entry, sentAt, declared) })
}

// receive handles a request at the node, as soon as the node runs.
func (f *fleet) receive(entry *fleetEntry, sentAt time.Time, declared instance.Declared) {
	node := f.node
	if f.now.Before(node.upAt) {
		return
	}
	if f.now.Before(node.frozenUntil) {
		f.after(node.frozenUntil.Sub(f.now), func() { f.receive(entry, sentAt, declared) })
		return
	}
	if declared.Limit != nil {
		node.limiter.Recall(f.now, declared.Incarnation, *declared.Limit)
	}
	if f.without != pacing && !node.limiter.Take(f.now) {
		f.refused++
		f.answer(entry, sentAt, node, true)
		return
	}
	f.runRequest(entry, sentAt, node)
}

// slowRequests is the share of requests that may take seconds.
const slowRequests = 0.2

// runRequest runs a request at the back end. The header of the answer is made at its start, so that
// answers of slow requests show an older limit.
func (f *fleet) runRequest(entry *fleetEntry, sentAt time.Time, node *fleetNode) {
	f.arrivals = append(f.arrivals, arrival{at: f.now, entry: entry})
	f.arrived++
	sent, life, limit := f.now, f.life(), f.limit
	longest := 600 * time.Millisecond
	if f.random.Float64() < slowRequests {
		longest = 4 * time.Second
	}
	f.after(f.between(10*time.Millisecond, longest), func() {
		if life != f.life() {
			return // lost with the incarnation
		}
		f.observe(node, sent, life, limit)
		f.passOn(entry, limit)
		f.answer(entry, sentAt, node, false)
	})
}

// passOn records that an entry passes on an answer with a limit, nil for none.
func (f *fleet) passOn(entry *fleetEntry, limit *ratelimit.Rate) {
	if limit == nil || f.limit == nil {
		return
	}
	if f.span == nil {
		f.beginSpan()
	}
	f.span.declared = float64(*limit)
	if entry.toldAt.IsZero() {
		entry.toldAt = f.now
	}
}

func (f *fleet) beginSpan() {
	f.span = &limitedSpan{beganAt: f.now, sums: []float64{0}}
	for _, entry := range f.entries {
		entry.toldAt = time.Time{}
	}
}

func (f *fleet) observe(node *fleetNode, sent time.Time, life string, limit *ratelimit.Rate) {
	if f.without == orderOfAnswers {
		sent = f.now.Add(time.Second)
	}
	node.limiter.Observe(ratelimit.Declaration{Incarnation: life, SentAt: sent, ReceivedAt: f.now, Limit: limit})
}

// answer passes the node's report to an entry.
func (f *fleet) answer(entry *fleetEntry, sentAt time.Time, node *fleetNode, refused bool) {
	declared := instance.Declared{Incarnation: f.life()}
	if limit, limited := node.limiter.Limit(); limited {
		declared.Limit = &limit
	}
	if !refused || declared.Restricted() {
		entry.memory.Record(f.now, sentAt, fleetAddress, declared)
	}
}

// noticeSteps is the time that a change of the limit takes to be known, in steps: the longest
// request whose answer shows it.
const noticeSteps = int(700 * time.Millisecond / fleetStep)

// recordLimit adds this step to the span.
func (f *fleet) recordLimit() {
	if f.limit == nil {
		f.span = nil
	}
	if f.span != nil {
		f.span.add()
	}
}

// limitedSpan is a time in which the back end had a limit without interruption, from the first
// answer that declared it.
type limitedSpan struct {
	beganAt time.Time
	// Limit of the last answer that declared one.
	declared float64
	// The same in the last noticeSteps.
	recent []float64
	// Requests that the limit allows from the beginning to each step.
	sums []float64
}

// add adds one step, in which the highest limit of the last noticeSteps counts.
func (s *limitedSpan) add() {
	s.recent = append(s.recent, s.declared)
	if len(s.recent) > noticeSteps {
		s.recent = s.recent[1:]
	}
	s.sums = append(s.sums, s.sums[len(s.sums)-1]+slices.Max(s.recent)*fleetStep.Seconds())
}

// allowed returns the requests that the back end may get in the window that ends now. The part of the
// window before the span counts with the limit of the span's beginning.
func (s *limitedSpan) allowed() float64 {
	steps, last := int(ruleWindow/fleetStep), len(s.sums)-1
	sum := s.sums[last] - s.sums[max(last-steps, 0)]
	if last < steps {
		sum += float64(steps-last) * s.sums[1]
	}
	return ruleFactor*sum + ruleSlack
}

// check returns a violation of the rule: too many requests from entries that were told, or refusals
// long after the limit has ended.
func (f *fleet) check() string {
	refused, arrived := f.refused, f.arrived
	f.refused, f.arrived = 0, 0
	if refused > 0 && f.limit == nil && min(f.now.Sub(f.changedAt), f.now.Sub(f.node.upAt)) > staleTime {
		return fmt.Sprintf("refused for a limit that ended %v ago", f.now.Sub(f.changedAt))
	}
	if arrived == 0 || f.span == nil || f.now.Sub(f.span.beganAt) < ruleDelay {
		return ""
	}
	count := 0
	for i := len(f.arrivals) - 1; i >= 0 && f.now.Sub(f.arrivals[i].at) < ruleWindow; i-- {
		if told := f.arrivals[i].entry.toldAt; !told.IsZero() && f.arrivals[i].at.Sub(told) >= ruleNotice {
			count++
		}
	}
	if allowed := f.span.allowed(); float64(count) > allowed {
		return fmt.Sprintf("%d requests in %v, allowed %.1f", count, ruleWindow, allowed)
	}
	return ""
}

// fleetSeeds is the number of random fleets that are played.
const fleetSeeds = 60

// TestFleetKeepsDeclaredLimit guards against a back end that gets more than it has declared while
// processes restart, freeze or are cut off and its limit falls, rises and ends.
func TestFleetKeepsDeclaredLimit(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		if violation := newFleet(seed, nothing).run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// TestEachSafeguardIsNeeded guards against safeguards, and checks of the test above, that have no
// effect.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, without := range []safeguard{pacing, memory, orderOfAnswers} {
		t.Run(safeguardNames[without], func(t *testing.T) {
			for seed := range uint64(fleetSeeds) {
				if violation := newFleet(seed, without).run(); violation != "" {
					t.Logf("found by seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("without %s, no fleet broke the rule", safeguardNames[without])
		})
	}
}
