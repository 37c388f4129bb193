package keyvalue

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Faults says how a stand-in misbehaves. The zero value is a healthy one.
type Faults struct {
	Down          bool          // connections are closed without an answer
	Silent        bool          // calls are never answered
	Status        int           // calls are answered with this status and not carried out, 0: none
	Garbage       bool          // calls are answered with something else than JSON and not carried out
	Delay         time.Duration // before each call is carried out
	LoseAnswers   int           // so many writes take effect and get no answer
	RatePerSecond int           // calls above it get status 429, 0: no limit, negative: all
	StaleReads    int           // so many reads show the value before the last one
	MuteWaits     bool          // waits hear of no change and are never answered
	MachineLag    time.Duration // by which the machine list lags behind
}

// faultState is the faults in force, with the counter of the rate limit.
type faultState struct {
	current Faults
	second  int64
	calls   int // in this second
}

func (f *faultState) takeStaleRead() bool {
	if f.current.StaleReads == 0 {
		return false
	}
	f.current.StaleReads--
	return true
}

// takeLostAnswer reports whether the answer of a call is lost. Only a write that is
// carried out counts.
func (f *faultState) takeLostAnswer(method string) bool {
	refused := f.current.Down || f.current.Silent || f.current.Status != 0 || f.current.Garbage
	if method == http.MethodGet || refused || f.current.LoseAnswers == 0 {
		return false
	}
	f.current.LoseAnswers--
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

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.current = faults
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.current
}

// WithFaults puts the faults in force in front of a protocol.
func (s *Store) WithFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server notices that a caller has left only when nothing of the request is
		// left to read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller has left
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.mutex.Lock()
		faults := s.faults.current
		limited := s.faults.overRate(time.Now())
		loseAnswer := !limited && s.faults.takeLostAnswer(r.Method)
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
		case loseAnswer:
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// sleep waits and reports whether the caller is still there.
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

// discardWriter is an http.ResponseWriter that drops the answer.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header            { return d.header }
func (d discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d discardWriter) WriteHeader(int)                {}

// WriteJSON answers with a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller has left
}
