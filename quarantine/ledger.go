package quarantine

import (
	"slices"
	"time"
)

// Ledger holds what one process knows of crashes and of the requests that are suspected of
// them. Ledgers that were given the same reports, in any order and any number of times,
// decide alike. A Ledger is not safe for concurrent use.
type Ledger struct {
	config   Config
	crashes  map[string]*crash      // by the id of the incarnation that crashed
	suspects map[Signature]*suspect // by request; none that is cleared of all its crashes
	listed   int                    // entries in the lists of all crashes
}

// crash is what is known of one crash.
type crash struct {
	id      string
	at      time.Time
	lost    map[Signature]bool // the requests that were lost in it; true: cleared of it
	cleared int                // how many of them are cleared
}

// suspect is a request that is suspected of one crash at least.
type suspect struct {
	crashes []string  // ids of the crashes, without those that it was cleared of
	last    time.Time // time of the latest crash that it was ever suspected of
	onTrial bool      // a trial of it is running
}

// NewLedger returns a Ledger that knows of nothing.
func NewLedger(config Config) *Ledger {
	config.setDefaults()
	return &Ledger{config: config, crashes: map[string]*crash{}, suspects: map[Signature]*suspect{}}
}

// HasSuspects reports whether any request is suspected of a crash. While none is, attempts
// need no decision and answers clear nothing.
func (l *Ledger) HasSuspects() bool { return len(l.suspects) > 0 }

// QuarantinedCount returns the number of requests that are suspected of enough crashes.
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

// Report merges the report of a crash. It returns whether any of it is new here, and the
// requests that it puts into quarantine. A report without an id, or of a time that is not
// within Keep, is ignored.
func (l *Ledger) Report(now time.Time, reported Crash) (isNew bool, quarantined []Signature) {
	age := time.Duration(reported.Age) * time.Millisecond
	if reported.ID == "" || age < 0 || age >= l.config.Keep {
		return false, nil
	}
	known := l.findOrAdd(reported.ID, now.Add(-age))
	added, quarantined := l.addLost(known, reported)
	cleared := l.clearAll(known, reported.Cleared)
	l.limitListed()
	return added || cleared, quarantined
}

func (l *Ledger) findOrAdd(id string, at time.Time) *crash {
	if known, exists := l.crashes[id]; exists {
		return known
	}
	if len(l.crashes) >= maximumCrashes {
		l.forgetOldest()
	}
	added := &crash{id: id, at: at, lost: map[Signature]bool{}}
	l.crashes[id] = added
	return added
}

// addLost adds the requests of a report to those that were lost in a crash. It reports
// whether any is new, and returns those that are in quarantine by it.
func (l *Ledger) addLost(known *crash, reported Crash) (added bool, quarantined []Signature) {
	cleared := make(map[Signature]bool, len(reported.Cleared))
	for _, signature := range reported.Cleared {
		cleared[signature] = true
	}
	for _, signature := range reported.Suspects {
		if _, listed := known.lost[signature]; listed || len(known.lost) >= maximumSuspects {
			continue
		}
		known.lost[signature] = false
		l.listed++
		added = true
		if !cleared[signature] && l.suspect(known, signature) {
			quarantined = append(quarantined, signature)
		}
	}
	return added, quarantined
}

// suspect records that a request is suspected of a crash, and reports whether that puts it
// into quarantine.
func (l *Ledger) suspect(of *crash, signature Signature) bool {
	known, exists := l.suspects[signature]
	if !exists {
		known = &suspect{}
		l.suspects[signature] = known
	}
	known.crashes = append(known.crashes, of.id)
	if of.at.After(known.last) {
		known.last = of.at
	}
	return len(known.crashes) == l.config.Threshold
}

// clearAll clears requests of a crash and reports whether any was not cleared before.
func (l *Ledger) clearAll(known *crash, signatures []Signature) (any bool) {
	for _, signature := range signatures {
		if cleared, listed := known.lost[signature]; listed && !cleared {
			l.clear(known, signature)
			any = true
		}
	}
	return any
}

// clear takes the suspicion of a crash from a request that is listed for it.
func (l *Ledger) clear(known *crash, signature Signature) {
	known.lost[signature] = true
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

// Answered clears a request that a back end has answered of all crashes that are known. It
// returns those that it was suspected of, for other processes to be told.
func (l *Ledger) Answered(now time.Time, signature Signature) []Crash {
	cleared := []Crash{}
	for _, id := range l.SuspectedOf(signature) {
		of := l.crashes[id]
		l.clear(of, signature)
		cleared = append(cleared, Crash{
			ID:       id,
			Age:      of.age(now),
			Suspects: []Signature{signature},
			Cleared:  []Signature{signature},
		})
	}
	return cleared
}
