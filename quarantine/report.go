package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashReport is the report of a crash of a back end with requests in flight. Processes send it to
// each other and save it in the store.
type CrashReport struct {
	// ID identifies the incarnation that crashed.
	ID string `json:"id"`
	// Age is the time since the crash, in milliseconds. A process that forwards the report
	// adds the time for which it has held it, by its own clock, which must keep running
	// while the machine is suspended (package clock).
	Age int64 `json:"age"`
	// Suspects are the requests in flight when the back end crashed, each once.
	Suspects []Signature `json:"suspects"`
	// Cleared are those suspects that a back end has answered since.
	Cleared []Signature `json:"cleared,omitempty"`
}

// age returns the time since a crash, in milliseconds.
func (c *crash) age(now time.Time) int64 { return now.Sub(c.at).Milliseconds() }

// All returns the reports of all known crashes, for another process, the oldest first.
func (l *Ledger) All(now time.Time) []CrashReport {
	all := make([]CrashReport, 0, len(l.crashes))
	for id, known := range l.crashes {
		report := CrashReport{ID: id, Age: known.age(now), Suspects: slices.Collect(maps.Keys(known.inFlight))}
		for signature, cleared := range known.inFlight {
			if cleared {
				report.Cleared = append(report.Cleared, signature)
			}
		}
		all = append(all, report)
	}
	slices.SortFunc(all, func(a, b CrashReport) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	return all
}

// CrashesOfQuarantined returns reports of the crashes that quarantined requests are suspected
// of, listing only those requests. The order depends only on the contents, so that processes
// with the same knowledge write the same bytes to the store.
func (l *Ledger) CrashesOfQuarantined(now time.Time) []CrashReport {
	reports := []CrashReport{}
	for id, known := range l.crashes {
		report := CrashReport{ID: id, Age: known.age(now)}
		for signature, cleared := range known.inFlight {
			if !cleared && l.isQuarantined(l.suspects[signature]) {
				report.Suspects = append(report.Suspects, signature)
			}
		}
		if len(report.Suspects) > 0 {
			slices.SortFunc(report.Suspects, func(a, b Signature) int { return bytes.Compare(a[:], b[:]) })
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b CrashReport) int { return cmp.Compare(a.ID, b.ID) })
	return reports
}

// digestShare is the share of Keep up to which a crash is included in the digest. Processes
// remove a crash at slightly different times, which must not make their digests differ.
const digestShare = 0.75

// digestFactor is odd, so that the multiplication loses no bits, and spreads them.
const digestFactor = 0x9e3779b97f4a7c15

// Digest returns a hash of the known crashes that are younger than digestShare of Keep, 0 if
// there are none: of their ids, and of how many requests each lists and has cleared. Ledgers
// with different digests differ in these crashes.
func (l *Ledger) Digest(now time.Time) uint64 {
	digest := uint64(0)
	for id, known := range l.crashes {
		if now.Sub(known.at) >= time.Duration(digestShare*float64(l.config.Keep)) {
			continue
		}
		counts := uint64(len(known.inFlight))<<32 | uint64(known.cleared)
		digest ^= (xxhash.Sum64String(id) ^ counts) * digestFactor
	}
	return digest
}
