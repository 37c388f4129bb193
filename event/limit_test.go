package event

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLinesOfAnEventAreBounded(t *testing.T) {
	is := is.New(t)
	l := &limiter{buckets: map[Number]*bucket{}}
	start := time.Unix(1000, 0)
	allowed, told := int64(0), int64(0)
	const calls = 100000
	for i := range calls { // ten seconds of a flood
		ok, suppressed := l.allow(start.Add(time.Duration(i)*100*time.Microsecond), RequestRefused)
		if ok {
			allowed++
		}
		told += suppressed
	}
	is.True(allowed <= lineBurst+10*linesPerSecond+1)
	is.True(allowed >= lineBurst+9*linesPerSecond)
	is.True(told > (calls-allowed)*8/10) // all but those of the last second are told of
	other, _ := l.allow(start, MemberDead)
	is.True(other) // other events are not affected
}

func TestSuppressedLinesAreCountedInALaterLine(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger := NewLogger(Options{Output: &output, Level: "info", JSON: true})
	for range 3 * lineBurst {
		logger.Emit(RequestRefused)
	}
	is.True(strings.Count(output.String(), "\n") <= lineBurst+linesPerSecond)
}

// stuckWriter is a log that nobody reads.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

var _ io.Writer = stuckWriter{}

func TestALogThatNobodyReadsBlocksNothing(t *testing.T) {
	is := is.New(t)
	stuck := stuckWriter{release: make(chan struct{})}
	defer close(stuck.release)
	writer := NewQueueWriter(stuck, 4)
	for range 100 { // would hang
		n, err := writer.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(writer.pending.Load() <= 5) // four wait, one is being written; the others were dropped
}
