package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run. It also goes to standard output if
// echo is set for a line.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Say writes a line and prints it.
func (r *Record) Say(format string, arguments ...any) {
	r.Line(format, arguments...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// At returns a time as the seconds since the start.
func (r *Record) At(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
