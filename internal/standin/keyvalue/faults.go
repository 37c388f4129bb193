package keyvalue

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Faults are the faults that a stub injects. The zero value injects none.
type Faults struct {
	Down           bool          // Close connections without a response.
	Silent         bool          // Never respond.
	Status         int           // Respond with this status without executing the call. 0: off.
	Garbage        bool          // Respond with a body that is not JSON, without executing the call.
	Delay          time.Duration // Delay before each call is executed.
	DropResponses  int           // Number of writes to execute without a response.
	RatePerSecond  int           // Reject calls above this rate with status 429. 0: no limit; negative: reject all.
	StaleReads     int           // Number of reads that return the previous value of the key.
	BlockWatches   bool          // Never respond to blocking reads, even after a change.
	MachineListLag time.Duration // Age of the machine list that is returned.
}

// faultState holds the active faults and the counter of the rate limit.
type faultState struct {
	current Faults
	second  int64
	calls   int // Calls in this second.
}

func (f *faultState) takeStaleRead() bool {
	if f.current.StaleReads == 0 {
		return false
	}
	f.current.StaleReads--
	return true
}

// takeDroppedResponse reports whether the response to a call is dropped. Only writes that are
// executed count.
func (f *faultState) takeDroppedResponse(method string) bool {
	refused := f.current.Down || f.current.Silent || f.current.Status != 0 || f.current.Garbage
	if method == http.MethodGet || refused || f.current.DropResponses == 0 {
		return false
	}
	f.current.DropResponses--
	return true
}

func (f *faultState) overRate(now time.Time) bool {
	if f.current.RatePerSecond == 0 {
		return false
	}
	if now.Unix() != f.second {
		f.second, f.calls = now.Unix(), 0
	}
	f.calls++
	return f.calls > f.current.RatePerSecond
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.current = faults
}

// Faults returns the active faults.
func (s *Store) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.current
}

// WithFaults wraps the handler of a protocol and injects the active faults.
func (s *Store) WithFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server detects that a caller has disconnected only after the request body
		// has been read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // The caller has disconnected.
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mutex.Lock()
		faults := s.faults.current
		limited := s.faults.overRate(time.Now())
		dropResponse := !limited && s.faults.takeDroppedResponse(r.Method)
		s.mutex.Unlock()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if limited {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		if !sleep(r, faults.Delay) {
			return
		}
		switch {
		case faults.Silent:
			<-r.Context().Done()
		case faults.Status != 0:
			w.WriteHeader(faults.Status)
		case faults.Garbage:
			_, _ = io.WriteString(w, "<html>")
		case dropResponse:
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// sleep waits for a duration. It returns false if the caller disconnects before that.
func sleep(r *http.Request, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header            { return d.header }
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d discardWriter) WriteHeader(int)                {}

// WriteJSON writes a response with a value encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // Fails only if the caller has disconnected.
}
