package event

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLinesPerEventAreLimited guards against a flood of log lines under overload, and
// against suppressed lines that are not counted.
func TestLinesPerEventAreLimited(t *testing.T) {
	is := is.New(t)
	l := &limiter{buckets: map[Number]*bucket{}}
	start := time.Unix(1000, 0)
	allowed, reported := int64(0), int64(0)
	const calls = 100000
	for i := range calls { // ten seconds at 10000 events per second
		ok, suppressed := l.allow(start.Add(time.Duration(i)*100*time.Microsecond), RequestRefused)
		if ok {
			allowed++
		}
		reported += suppressed
	}
	is.True(allowed <= lineBurst+10*linesPerSecond+1)
	is.True(allowed >= lineBurst+9*linesPerSecond)
	is.True(reported > (calls-allowed)*8/10) // all but those of the last second are reported
	other, _ := l.allow(start, MemberDead)
	is.True(other) // other events are not limited
}

// TestLoggerLimitsLines guards against a Logger that bypasses the limit.
func TestLoggerLimitsLines(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger := NewLogger(Options{Output: &output, Level: "info", JSON: true})
	for range 3 * lineBurst {
		logger.Emit(RequestRefused)
	}
	is.True(strings.Count(output.String(), "\n") <= lineBurst+linesPerSecond)
}

// stuckWriter is an output that blocks until release is closed.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

var _ io.Writer = stuckWriter{}

// TestQueueWriterDoesNotBlock guards against a process that hangs because its log output
// blocks.
func TestQueueWriterDoesNotBlock(t *testing.T) {
	is := is.New(t)
	stuck := stuckWriter{release: make(chan struct{})}
	defer close(stuck.release)
	writer := NewQueueWriter(stuck, 4)
	for range 100 { // would block
		n, err := writer.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(writer.pending.Load() <= 5) // four queued and one being written; the others are dropped
}
