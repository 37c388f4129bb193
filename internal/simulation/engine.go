package simulation

import (
	"container/heap"
	"time"
)

// Engine holds the virtual time and the functions that are still to run.
type Engine struct {
	now    time.Time
	start  time.Time
	events eventHeap
	next   int
}

// New returns an Engine at the start of virtual time.
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

// After schedules a function after a span of virtual time.
func (e *Engine) After(wait time.Duration, run func()) {
	e.next++
	heap.Push(&e.events, scheduled{e.now.Add(max(wait, 0)), e.next, run})
}

// Run lets a span of virtual time pass.
func (e *Engine) Run(span time.Duration) {
	end := e.now.Add(span)
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		event, _ := heap.Pop(&e.events).(scheduled)
		e.now = event.at
		event.run()
	}
	e.now = end
}
