package quarantine

import (
	"slices"
	"time"
)

// Ledger holds one process's knowledge of crashes and of the requests suspected of them.
// Ledgers that have merged the same reports, in any order and any number of times, make the
// same decisions. A Ledger is not safe for concurrent use.
type Ledger struct {
	config Config
	// By the id of the incarnation that crashed.
	crashes map[string]*crash
	// By request. Requests that are cleared of all their crashes are not included.
	suspects map[Signature]*suspect
	// Number of requests of all crashes together.
	entryCount int
}

// crash is a crash of one incarnation of a back end.
type crash struct {
	id string
	at time.Time
	// Requests in flight when the back end crashed. The value is true for requests that are
	// cleared of this crash.
	inFlight map[Signature]bool
	// Number of cleared requests.
	cleared int
}

// suspect is a request that is suspected of at least one crash.
type suspect struct {
	// Ids of the crashes, except those that the request was cleared of.
	crashes []string
	// Time of the latest crash that it was ever suspected of.
	last         time.Time
	trialRunning bool
}

// NewLedger returns an empty Ledger.
func NewLedger(config Config) *Ledger {
	config.setDefaults()
	return &Ledger{config: config, crashes: map[string]*crash{}, suspects: map[Signature]*suspect{}}
}

// HasSuspects reports whether any request is suspected of a crash. If none is, attempts need
// no decision and answers clear nothing.
func (l *Ledger) HasSuspects() bool { return len(l.suspects) > 0 }

// QuarantinedCount returns the number of quarantined requests.
func (l *Ledger) QuarantinedCount() int {
	count := 0
	for _, known := range l.suspects {
		if l.isQuarantined(known) {
			count++
		}
	}
	return count
}

// SuspectedOf returns the ids of the crashes that a request is suspected of.
func (l *Ledger) SuspectedOf(signature Signature) []string {
	known, exists := l.suspects[signature]
	if !exists {
		return nil
	}
	return slices.Clone(known.crashes)
}

// Report merges the report of a crash. It returns whether the report adds or clears any
// request, and the requests that are quarantined because of it. A report without an id, with a
// negative age or with an age of Keep or more is ignored.
func (l *Ledger) Report(now time.Time, reported CrashReport) (isNew bool, quarantined []Signature) {
	if reported.ID == "" || reported.Age < 0 || reported.Age >= l.config.Keep.Milliseconds() {
		return false, nil
	}
	age := time.Duration(reported.Age) * time.Millisecond
	known := l.findOrAdd(reported.ID, now.Add(-age))
	added, quarantined := l.addInFlight(known, reported)
	cleared := l.clearAll(known, reported.Cleared)
	l.limitEntries()
	return added || cleared, quarantined
}

func (l *Ledger) findOrAdd(id string, at time.Time) *crash {
	if known, exists := l.crashes[id]; exists {
		return known
	}
	if len(l.crashes) >= maximumCrashes {
		l.removeOldest()
	}
	added := &crash{id: id, at: at, inFlight: map[Signature]bool{}}
	l.crashes[id] = added
	return added
}

// addInFlight adds the suspects of a report to the requests of a crash. It returns whether any
// of them is new, and those that are quarantined because of it.
func (l *Ledger) addInFlight(known *crash, reported CrashReport) (added bool, quarantined []Signature) {
	cleared := make(map[Signature]bool, len(reported.Cleared))
	for _, signature := range reported.Cleared {
		cleared[signature] = true
	}
	for _, signature := range reported.Suspects {
		if _, listed := known.inFlight[signature]; listed || len(known.inFlight) >= maximumSuspectsPerCrash {
			continue
		}
		known.inFlight[signature] = false
		l.entryCount++
		added = true
		if !cleared[signature] && l.suspect(known, signature) {
			quarantined = append(quarantined, signature)
		}
	}
	return added, quarantined
}

// suspect records that a request is suspected of a crash, and reports whether the request is
// quarantined because of it.
func (l *Ledger) suspect(cause *crash, signature Signature) bool {
	known, exists := l.suspects[signature]
	if !exists {
		known = &suspect{}
		l.suspects[signature] = known
	}
	known.crashes = append(known.crashes, cause.id)
	if cause.at.After(known.last) {
		known.last = cause.at
	}
	return len(known.crashes) == l.config.Threshold
}

// clearAll clears requests of a crash and reports whether any of them was not cleared before.
func (l *Ledger) clearAll(known *crash, signatures []Signature) (changed bool) {
	for _, signature := range signatures {
		if cleared, listed := known.inFlight[signature]; listed && !cleared {
			l.clear(known, signature)
			changed = true
		}
	}
	return changed
}

// clear clears a request of a crash that lists it.
func (l *Ledger) clear(known *crash, signature Signature) {
	known.inFlight[signature] = true
	known.cleared++
	l.dropSuspicion(known.id, signature)
}

func (l *Ledger) dropSuspicion(crashID string, signature Signature) {
	known, exists := l.suspects[signature]
	if !exists {
		return
	}
	known.crashes = slices.DeleteFunc(known.crashes, func(id string) bool { return id == crashID })
	if len(known.crashes) == 0 {
		delete(l.suspects, signature)
	}
}

// ClearSuspicion clears a request that a back end has answered of all known crashes. It returns
// reports of the crashes that the request was suspected of, to be sent to other processes.
func (l *Ledger) ClearSuspicion(now time.Time, signature Signature) []CrashReport {
	cleared := []CrashReport{}
	for _, id := range l.SuspectedOf(signature) {
		cause := l.crashes[id]
		l.clear(cause, signature)
		cleared = append(cleared, CrashReport{
			ID:       id,
			Age:      cause.age(now),
			Suspects: []Signature{signature},
			Cleared:  []Signature{signature},
		})
	}
	return cleared
}
