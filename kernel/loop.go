package kernel

import (
	"context"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/result"
)

// Task is a step of the control loop. It must not block. now is a reading of clock.Now,
// which counts suspensions: what the loop owns must hold by the time of others.
type Task func(now time.Time)

// Loop is the one goroutine that owns the control state of a process. All
// changes of that state are Tasks that it runs one after the other.
type Loop struct {
	tasks   chan Task
	periods []period
	done    chan struct{}
}

// period is a Task that is run again and again.
type period struct {
	interval time.Duration
	task     Task
}

// loopQueue is the number of tasks that may wait.
const loopQueue = 4096

func newLoop() *Loop {
	return &Loop{tasks: make(chan Task, loopQueue), done: make(chan struct{})}
}

// Every runs task at each interval. It must be called before the loop starts.
func (l *Loop) Every(interval time.Duration, task Task) {
	l.periods = append(l.periods, period{interval, task})
}

// Post queues a task and reports whether there was room. It never blocks.
func (l *Loop) Post(task Task) bool {
	select {
	case l.tasks <- task:
		return true
	default:
		return false
	}
}

// Do queues a task and waits until it has run.
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

// Ask runs a question on the control loop and returns its answer. When the caller
// stops waiting, the question may still run; its answer is then dropped. That is
// why a Task given to Do must not write to variables that its caller reads.
func Ask[T any](ctx context.Context, loop *Loop, question func(now time.Time) T) (T, error) {
	answers := make(chan T, 1)
	if err := loop.Do(ctx, func(now time.Time) { answers <- question(now) }); err != nil {
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

// repeat posts a periodic task at its times.
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
