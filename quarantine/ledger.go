package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config configures a Ledger.
type Config struct {
	// Threshold is the number of ends of back ends, each another incarnation, that put a
	// request into quarantine. One end says nothing, since all that a back end works on is
	// lost with it; two may follow from one cause, since what was lost is sent to another
	// back end at once. More loses more back ends to a request that ends them. Default 3.
	Threshold int
	// Period is how long a request is refused after the last end, the first time. Each
	// further end doubles it. After it, one attempt at a time is let through for a trial.
	// Shorter frees an innocent request sooner, longer loses fewer back ends. Default 60s.
	Period time.Duration
	// Keep is how long the end of a back end is remembered. Memory grows with it.
	// Default 10m.
	Keep time.Duration
}

// Defaults of a Config.
const (
	defaultThreshold = 3
	defaultPeriod    = time.Minute
	defaultKeep      = 10 * time.Minute
)

// Bounds of what a Ledger holds.
const (
	// maximumCrashes bounds the ends that are remembered.
	maximumCrashes = 256
	// maximumSuspects bounds the suspects of one end: above the requests that a back end
	// works on at a time.
	maximumSuspects = 512
	// maximumListed bounds the suspects of all ends together: 2.7 MB of memory and 330 KB
	// for a process that asks for all, by the sizes measured at 7,680 of them.
	maximumListed = 16 << 10
)

// Crash is what is known of the end of a back end that worked on requests.
type Crash struct {
	// ID names the incarnation that ended.
	ID string `json:"id"`
	// Age is how long ago it ended, in milliseconds, by the steady clocks of those who
	// told it on.
	Age int64 `json:"age"`
	// Suspects are the requests that were lost with it, each once.
	Suspects []Signature `json:"suspects"`
	// Cleared are those of them that a back end has answered since.
	Cleared []Signature `json:"cleared,omitempty"`
}

// Verdict says what is to be done with an attempt.
type Verdict int

// Verdicts.
const (
	Admit  Verdict = iota // hand it to the back end
	Refuse                // the request is in quarantine
	Try                   // hand it to the back end, as the only one of its request: Tried must follow
)

// Ledger adds up what the ends of back ends tell of requests. Ledgers that have been told
// of the same ends, in any order and any number of times, decide alike. A Ledger is not
// safe for concurrent use.
type Ledger struct {
	config  Config
	crashes map[string]*crash
	records map[Signature]*record
	listed  int // suspects of all crashes
}

// crash is an end of a back end.
type crash struct {
	at       time.Time
	suspects map[Signature]bool // true: cleared
	cleared  int                // of the suspects
}

// record is what is known of one request.
type record struct {
	crashes []string  // ids of the ends that it was lost in, without those that it was cleared of
	last    time.Time // when the last of them was
	trial   bool      // an attempt is let through for a trial
}

// NewLedger returns a Ledger that knows of nothing.
func NewLedger(config Config) *Ledger {
	config.Threshold = cmp.Or(config.Threshold, defaultThreshold)
	config.Period = cmp.Or(config.Period, defaultPeriod)
	config.Keep = cmp.Or(config.Keep, defaultKeep)
	return &Ledger{config: config, crashes: map[string]*crash{}, records: map[Signature]*record{}}
}

// Empty reports whether nothing is known, not even of requests that were cleared.
func (l *Ledger) Empty() bool { return len(l.crashes) == 0 }

// Watching reports whether any request is under suspicion, so that attempts must be asked
// for and answers told.
func (l *Ledger) Watching() bool { return len(l.records) > 0 }

// Report takes what is known of an end. It returns whether any of it is new, and the
// requests that are in quarantine by it.
func (l *Ledger) Report(now time.Time, told Crash) (news bool, quarantined []Signature) {
	age := time.Duration(told.Age) * time.Millisecond
	if told.ID == "" || age < 0 || age >= l.config.Keep {
		return false, nil
	}
	known, exists := l.crashes[told.ID]
	if !exists {
		if len(l.crashes) >= maximumCrashes {
			l.forgetOldest()
		}
		known = &crash{at: now.Add(-age), suspects: map[Signature]bool{}}
		l.crashes[told.ID] = known
	}
	cleared := map[Signature]bool{}
	for _, signature := range told.Cleared {
		cleared[signature] = true
	}
	for _, signature := range told.Suspects {
		if _, listed := known.suspects[signature]; listed || len(known.suspects) >= maximumSuspects {
			continue
		}
		known.suspects[signature] = false
		l.listed++
		news = true
		if !cleared[signature] && l.suspect(told.ID, known.at, signature) {
			quarantined = append(quarantined, signature)
		}
	}
	for signature := range cleared {
		if done, listed := known.suspects[signature]; listed && !done {
			l.clear(told.ID, signature)
			news = true
		}
	}
	for l.listed > maximumListed {
		l.forgetOldest()
	}
	return news, quarantined
}

// suspect records that a request was lost in an end, and reports whether that put it into
// quarantine.
func (l *Ledger) suspect(id string, at time.Time, signature Signature) bool {
	known, exists := l.records[signature]
	if !exists {
		known = &record{}
		l.records[signature] = known
	}
	known.crashes = append(known.crashes, id)
	if at.After(known.last) {
		known.last = at
	}
	return len(known.crashes) == l.config.Threshold
}

// clear takes an end off the account of a request.
func (l *Ledger) clear(id string, signature Signature) {
	known := l.crashes[id]
	known.suspects[signature] = true
	known.cleared++
	l.acquit(id, signature)
}

func (l *Ledger) acquit(id string, signature Signature) {
	known, exists := l.records[signature]
	if !exists {
		return
	}
	known.crashes = slices.DeleteFunc(known.crashes, func(other string) bool { return other == id })
	if len(known.crashes) == 0 {
		delete(l.records, signature)
	}
}

// Crashes returns the number of ends that a request is suspected of.
func (l *Ledger) Crashes(signature Signature) int {
	known, exists := l.records[signature]
	if !exists {
		return 0
	}
	return len(known.crashes)
}

// Quarantined returns the number of requests that enough ends are known of.
func (l *Ledger) Quarantined() int {
	count := 0
	for _, known := range l.records {
		if len(known.crashes) >= l.config.Threshold {
			count++
		}
	}
	return count
}

// Ends returns the ids of the ends that a request is suspected of.
func (l *Ledger) Ends(signature Signature) []string {
	known, exists := l.records[signature]
	if !exists {
		return nil
	}
	return slices.Clone(known.crashes)
}

// MayConvict reports whether one more end puts a request into quarantine, or it is there.
func (l *Ledger) MayConvict(signature Signature) bool {
	return l.Crashes(signature) >= l.config.Threshold-1
}

// Decide says what is to be done with an attempt, and how long the quarantine goes on when
// it is refused. mayTry is asked whether trials of the request are made here; one process
// makes them, so that a request which still ends back ends takes one at a time.
func (l *Ledger) Decide(now time.Time, signature Signature, mayTry func() bool) (Verdict, time.Duration) {
	known, exists := l.records[signature]
	if !exists || len(known.crashes) < l.config.Threshold {
		return Admit, 0
	}
	left := l.period(len(known.crashes)) - now.Sub(known.last)
	if left > 0 {
		return Refuse, left
	}
	if known.trial || !mayTry() {
		return Refuse, trialPause
	}
	known.trial = true
	return Try, 0
}

// trialPause is when a request may come again while another attempt of it is on trial, or
// trials are made elsewhere.
const trialPause = time.Second

// period is how long a request is refused after a number of ends.
func (l *Ledger) period(crashes int) time.Duration {
	period := l.config.Period
	for range crashes - l.config.Threshold {
		period *= 2
		if period >= l.config.Keep {
			return l.config.Keep
		}
	}
	return period
}

// Tried ends a trial, however it ended.
func (l *Ledger) Tried(signature Signature) {
	if known, exists := l.records[signature]; exists {
		known.trial = false
	}
}

// Answered clears a request that a back end has answered of all ends that are known. It
// returns those that it was suspected of, for others to be told.
func (l *Ledger) Answered(now time.Time, signature Signature) []Crash {
	known, exists := l.records[signature]
	if !exists {
		return nil
	}
	cleared := []Crash{}
	for _, id := range slices.Clone(known.crashes) {
		l.clear(id, signature)
		cleared = append(cleared, Crash{
			ID:       id,
			Age:      l.age(now, id),
			Suspects: []Signature{signature},
			Cleared:  []Signature{signature},
		})
	}
	return cleared
}

func (l *Ledger) age(now time.Time, id string) int64 {
	return now.Sub(l.crashes[id].at).Milliseconds()
}

// All returns all that is known, for another process, the oldest end first.
func (l *Ledger) All(now time.Time) []Crash {
	all := make([]Crash, 0, len(l.crashes))
	for id, known := range l.crashes {
		told := Crash{ID: id, Age: l.age(now, id), Suspects: slices.Collect(maps.Keys(known.suspects))}
		for signature, cleared := range known.suspects {
			if cleared {
				told.Cleared = append(told.Cleared, signature)
			}
		}
		all = append(all, told)
	}
	slices.SortFunc(all, func(a, b Crash) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	return all
}

// Convicted returns what is known of the ends for which requests are in quarantine, with
// those requests alone, in an order that depends on nothing else.
func (l *Ledger) Convicted(now time.Time) []Crash {
	byID := map[string]*Crash{}
	for signature, known := range l.records {
		if len(known.crashes) < l.config.Threshold {
			continue
		}
		for _, id := range known.crashes {
			if byID[id] == nil {
				byID[id] = &Crash{ID: id, Age: l.age(now, id)}
			}
			byID[id].Suspects = append(byID[id].Suspects, signature)
		}
	}
	convicted := make([]Crash, 0, len(byID))
	for _, told := range byID {
		slices.SortFunc(told.Suspects, func(a, b Signature) int { return bytes.Compare(a[:], b[:]) })
		convicted = append(convicted, *told)
	}
	slices.SortFunc(convicted, func(a, b Crash) int { return cmp.Compare(a.ID, b.ID) })
	return convicted
}

// freshShare is the part of Keep up to which an end counts in the digest: processes forget
// an end at slightly different times, which must not look like news.
const freshShare = 0.75

// Digest tells apart what Ledgers know, 0 for nothing. Equal ones know the same ends.
func (l *Ledger) Digest(now time.Time) uint64 {
	digest := uint64(0)
	for id, known := range l.crashes {
		if now.Sub(known.at) >= time.Duration(freshShare*float64(l.config.Keep)) {
			continue
		}
		counts := uint64(len(known.suspects))<<32 | uint64(known.cleared)
		digest ^= (xxhash.Sum64String(id) ^ counts) * digestFactor
	}
	return digest
}

// digestFactor is odd and spreads the bits of a sum.
const digestFactor = 0x9e3779b97f4a7c15

// Expire forgets ends that are too old.
func (l *Ledger) Expire(now time.Time) {
	for id, known := range l.crashes {
		if now.Sub(known.at) >= l.config.Keep {
			l.forget(id)
		}
	}
}

// forgetOldest forgets the oldest end.
func (l *Ledger) forgetOldest() {
	oldest := ""
	for id, known := range l.crashes {
		if oldest == "" || known.at.Before(l.crashes[oldest].at) {
			oldest = id
		}
	}
	l.forget(oldest)
}

func (l *Ledger) forget(id string) {
	for signature := range l.crashes[id].suspects {
		l.acquit(id, signature)
	}
	l.listed -= len(l.crashes[id].suspects)
	delete(l.crashes, id)
}
