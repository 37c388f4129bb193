// Package emulator plays whole meshes under load in virtual time. Back ends,
// networks and callers are models; the decisions are made by the same code that
// runs in the daemon: admission, balance, retrybudget. The same seed gives the
// same result.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// engine is a discrete-event simulation.
type engine struct {
	now    time.Time
	events eventHeap
	next   int
	random *rand.Rand
}

type scheduled struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []scheduled

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) {
	event, _ := value.(scheduled)
	*h = append(*h, event)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

func newEngine(seed uint64) *engine {
	return &engine{now: epoch, random: rand.New(rand.NewPCG(seed, 99))}
}

// after runs a function after a span of virtual time.
func (e *engine) after(wait time.Duration, run func()) {
	e.next++
	heap.Push(&e.events, scheduled{e.now.Add(max(wait, 0)), e.next, run})
}

// elapsed returns the virtual time since the start.
func (e *engine) elapsed() time.Duration { return e.now.Sub(epoch) }

// runUntil plays events up to a point of virtual time.
func (e *engine) runUntil(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at.Sub(epoch) <= end {
		event, _ := heap.Pop(&e.events).(scheduled)
		e.now = event.at
		event.run()
	}
	e.now = epoch.Add(end)
}

// exponential draws an exponentially distributed span with the given mean.
func (e *engine) exponential(mean time.Duration) time.Duration {
	return time.Duration(e.random.ExpFloat64() * float64(mean))
}
