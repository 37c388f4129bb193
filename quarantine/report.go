package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is the report of one crash of a back end that worked on requests. Processes send it
// to each other, and it lies in the store.
type Crash struct {
	// ID names the incarnation that crashed.
	ID string `json:"id"`
	// Age is how long ago it crashed, in milliseconds. Each process that passes the report
	// on adds the time for which it has known it, by its own steady clock.
	Age int64 `json:"age"`
	// Suspects are the requests that were lost in the crash, each once.
	Suspects []Signature `json:"suspects"`
	// Cleared are those of them that a back end has answered since.
	Cleared []Signature `json:"cleared,omitempty"`
}

// age is how long ago a crash was, in milliseconds.
func (c *crash) age(now time.Time) int64 { return now.Sub(c.at).Milliseconds() }

// All returns the reports of all crashes that are known, for another process, the oldest
// first.
func (l *Ledger) All(now time.Time) []Crash {
	all := make([]Crash, 0, len(l.crashes))
	for id, known := range l.crashes {
		report := Crash{ID: id, Age: known.age(now), Suspects: slices.Collect(maps.Keys(known.lost))}
		for signature, cleared := range known.lost {
			if cleared {
				report.Cleared = append(report.Cleared, signature)
			}
		}
		all = append(all, report)
	}
	slices.SortFunc(all, func(a, b Crash) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	return all
}

// CrashesOfQuarantined returns reports of the crashes for which requests are in quarantine,
// with those requests alone. Their order depends on nothing but what they hold, so that
// processes that know the same write the same bytes to the store.
func (l *Ledger) CrashesOfQuarantined(now time.Time) []Crash {
	reports := []Crash{}
	for id, known := range l.crashes {
		report := Crash{ID: id, Age: known.age(now)}
		for signature, cleared := range known.lost {
			if !cleared && l.isQuarantined(l.suspects[signature]) {
				report.Suspects = append(report.Suspects, signature)
			}
		}
		if len(report.Suspects) > 0 {
			slices.SortFunc(report.Suspects, func(a, b Signature) int { return bytes.Compare(a[:], b[:]) })
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b Crash) int { return cmp.Compare(a.ID, b.ID) })
	return reports
}

// digestShare is the part of Keep up to which a crash counts in the digest. Processes forget
// a crash at slightly different times, which must not look like news.
const digestShare = 0.75

// digestFactor is odd and spreads the bits of a sum.
const digestFactor = 0x9e3779b97f4a7c15

// Digest is a hash of the crashes that are known, 0 for none. Ledgers with equal digests
// know the same ones.
func (l *Ledger) Digest(now time.Time) uint64 {
	digest := uint64(0)
	for id, known := range l.crashes {
		if now.Sub(known.at) >= time.Duration(digestShare*float64(l.config.Keep)) {
			continue
		}
		counts := uint64(len(known.lost))<<32 | uint64(known.cleared)
		digest ^= (xxhash.Sum64String(id) ^ counts) * digestFactor
	}
	return digest
}
