package simulation

import (
	"container/heap"
	"time"
)

// Engine is a discrete-event scheduler with a virtual clock. It is not safe for concurrent
// use.
type Engine struct {
	now       time.Time
	start     time.Time
	events    eventHeap
	lastOrder int
}

// New returns an Engine whose clock is at a fixed start time and has no scheduled functions.
func New() *Engine {
	start := time.Unix(1_700_000_000, 0)
	return &Engine{now: start, start: start}
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
	old[len(old)-1] = scheduled{}
	*h = old[:len(old)-1]
	return last
}

// Now returns the virtual time.
func (e *Engine) Now() time.Time { return e.now }

// Elapsed returns the virtual time since the start.
func (e *Engine) Elapsed() time.Duration { return e.now.Sub(e.start) }

// After schedules run at the given delay from now. A negative delay counts as 0. Functions
// scheduled for the same time run in the order of their After calls.
func (e *Engine) After(wait time.Duration, run func()) {
	e.lastOrder++
	heap.Push(&e.events, scheduled{e.now.Add(max(wait, 0)), e.lastOrder, run})
}

// Run advances the virtual clock by span and runs all functions that become due.
func (e *Engine) Run(span time.Duration) {
	end := e.now.Add(span)
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		event, _ := heap.Pop(&e.events).(scheduled)
		e.now = event.at
		event.run()
	}
	e.now = end
}
