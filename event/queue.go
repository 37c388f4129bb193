package event

import (
	"io"
	"sync/atomic"
	"time"
)

// QueueWriter passes lines to another writer in a goroutine of its own, so that a
// reader of the log that stops reading never holds up the process. Lines that
// do not fit into the queue are dropped: whoever might be told of it does not read.
type QueueWriter struct {
	lines   chan []byte
	pending atomic.Int64 // waiting or being written
}

// NewQueueWriter returns a QueueWriter for at most size waiting lines.
func NewQueueWriter(output io.Writer, size int) *QueueWriter {
	w := &QueueWriter{lines: make(chan []byte, size)}
	go w.run(output)
	return w
}

func (w *QueueWriter) run(output io.Writer) {
	for line := range w.lines {
		_, _ = output.Write(line) // there is nobody to tell
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

// flushCheck is the time between two looks at what is pending.
const flushCheck = time.Millisecond

// Flush waits until all lines are written, at most for the given time.
func (w *QueueWriter) Flush(wait time.Duration) {
	for end := time.Now().Add(wait); w.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushCheck)
	}
}
