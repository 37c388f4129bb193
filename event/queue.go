package event

import (
	"io"
	"sync/atomic"
	"time"
)

// QueueWriter writes lines to another writer in its own goroutine, so that a blocked log
// output does not block the process. Lines that do not fit into the queue are dropped
// without a report, which could not be written either.
type QueueWriter struct {
	lines   chan []byte
	pending atomic.Int64 // lines queued or being written
}

// NewQueueWriter returns a QueueWriter with room for size queued lines. Its goroutine runs
// until the process exits.
func NewQueueWriter(output io.Writer, size int) *QueueWriter {
	w := &QueueWriter{lines: make(chan []byte, size)}
	go w.run(output)
	return w
}

func (w *QueueWriter) run(output io.Writer) {
	for line := range w.lines {
		_, _ = output.Write(line) // an error cannot be logged
		w.pending.Add(-1)
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *QueueWriter) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
	}
	return len(line), nil
}

// flushInterval is the time between two checks for pending lines.
const flushInterval = time.Millisecond

// Flush waits until all queued lines are written, at most for the given time.
func (w *QueueWriter) Flush(wait time.Duration) {
	for end := time.Now().Add(wait); w.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushInterval)
	}
}
