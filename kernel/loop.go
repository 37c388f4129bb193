package kernel

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/result"
)

// Task is a step of the control loop. It must not block. now is a reading of clock.Now,
// which advances while the machine is suspended, so that control state expires by the
// same time as in other processes.
type Task func(now time.Time)

// Loop is the goroutine that owns the control state of a process. It runs all changes of
// that state as Tasks, one at a time.
type Loop struct {
	tasks   chan Task
	periods []period
	done    chan struct{}
}

// period is a Task that runs at an interval.
type period struct {
	interval time.Duration
	task     Task
}

// loopQueue is the maximum number of queued tasks.
const loopQueue = 4096

func newLoop() *Loop {
	return &Loop{tasks: make(chan Task, loopQueue), done: make(chan struct{})}
}

// Every runs task at the start of the loop and then once per interval. It must be called
// before the loop starts.
func (l *Loop) Every(interval time.Duration, task Task) {
	l.periods = append(l.periods, period{interval, task})
}

// Post queues a task without blocking. It reports whether the queue had room for it.
func (l *Loop) Post(task Task) bool {
	select {
	case l.tasks <- task:
		return true
	default:
		return false
	}
}

// Do queues a task and waits until it has run. It returns a result.NotReady error when
// ctx ends first, after which the task may still run, and a result.Draining error when
// the loop has stopped.
func (l *Loop) Do(ctx context.Context, task Task) error {
	finished := make(chan struct{})
	wrapped := func(now time.Time) {
		task(now)
		close(finished)
	}
	select {
	case l.tasks <- wrapped:
	case <-ctx.Done():
		return result.Wrap(result.NotReady, ctx.Err(), "the control loop is busy")
	case <-l.done:
		return result.New(result.Draining, "the process has stopped")
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return result.Wrap(result.NotReady, ctx.Err(), "the control loop is busy")
	case <-l.done:
		return result.New(result.Draining, "the process has stopped")
	}
}

// Query runs query on the control loop and returns its result. If ctx ends first, query
// may still run and its result is dropped. A Task passed to Do must not write to variables
// of its caller for the same reason. The errors are those of Do.
func Query[T any](ctx context.Context, loop *Loop, query func(now time.Time) T) (T, error) {
	answers := make(chan T, 1)
	if err := loop.Do(ctx, func(now time.Time) { answers <- query(now) }); err != nil {
		var none T
		return none, err
	}
	return <-answers, nil
}

// run runs the loop until ctx ends.
func (l *Loop) run(ctx context.Context) {
	defer close(l.done)
	for _, p := range l.periods {
		go l.repeat(ctx, p)
	}
	for {
		select {
		case task := <-l.tasks:
			task(clock.Now().Time())
		case <-ctx.Done():
			return
		}
	}
}

// repeat runs a periodic task on the loop until ctx ends.
func (l *Loop) repeat(ctx context.Context, p period) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		if l.Do(ctx, p.task) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
