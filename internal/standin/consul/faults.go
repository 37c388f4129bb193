package consul

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Duration is a time.Duration written as text in JSON.
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Faults says how the stand-in misbehaves. The zero value is a healthy service.
type Faults struct {
	// Down closes the connection of each request without an answer.
	Down bool `json:"down"`
	// Delay is added before each request is carried out.
	Delay Duration `json:"delay"`
	// LoseAnswers is the number of writes whose answer is cut off after they
	// have taken effect.
	LoseAnswers int `json:"lose_answers"`
	// RatePerSecond refuses requests above the rate with status 429; 0 is no
	// limit and a negative rate refuses all.
	RatePerSecond int `json:"rate_per_second"`
	// StaleReads is the number of reads that show the value before the last.
	StaleReads int `json:"stale_reads"`
	// MachineLag is how far the machine list lags behind.
	MachineLag Duration `json:"machine_lag"`
}

// faultState is the faults in force with the counters of the rate limit.
type faultState struct {
	current Faults
	second  int64
	count   int
}

func (f *faultState) takeStale() bool {
	if f.current.StaleReads == 0 {
		return false
	}
	f.current.StaleReads--
	return true
}

func (f *faultState) takeLostAnswer() bool {
	if f.current.LoseAnswers == 0 {
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
		f.second, f.count = now.Unix(), 0
	}
	f.count++
	return f.count > f.current.RatePerSecond
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults.current = faults
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	faults := s.faults.current
	s.mutex.Unlock()
	writeJSON(w, faults)
}

// faulty carries out a request under the faults in force.
func (s *Server) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.requests++
		faults := s.faults.current
		limited := s.faults.overRate(time.Now())
		loseAnswer := r.Method == http.MethodPut && !faults.Down && !limited && s.faults.takeLostAnswer()
		s.mutex.Unlock()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if limited {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		// The body is read first, because the server notices that a caller has
		// gone only when nothing of the request is left to read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !sleep(r, faults.Delay.Std()) {
			return
		}
		if loseAnswer {
			next(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// sleep waits for d and reports whether the caller is still there.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
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
