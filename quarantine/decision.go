package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict says what is to be done with an attempt of a request.
type Verdict int

// Verdicts.
const (
	Admit  Verdict = iota // hand it to the back end
	Refuse                // the request is in quarantine
	Trial                 // hand it to the back end, and call EndTrial when it has ended
)

// Decide is the rule for an attempt of a request:
//
//	suspected of fewer crashes than Threshold          Admit
//	quarantine time after the latest crash not over    Refuse, for the rest of that time
//	a trial is running, or another node runs them      Refuse, for trialPause
//	otherwise                                          Trial
//
// The quarantine time is Period, doubled by each crash above Threshold, up to Keep. The
// duration is how long the caller of a refused attempt should wait. runsTrials is asked
// whether this process is the one that runs trials of the request, so that a request which
// still crashes back ends takes down one at a time.
func (l *Ledger) Decide(now time.Time, signature Signature, runsTrials func() bool) (Verdict, time.Duration) {
	known := l.suspects[signature]
	if !l.isQuarantined(known) {
		return Admit, 0
	}
	left := l.quarantineTime(len(known.crashes)) - now.Sub(known.last)
	if left > 0 {
		return Refuse, left
	}
	if known.onTrial || !runsTrials() {
		return Refuse, trialPause
	}
	known.onTrial = true
	return Trial, 0
}

// trialPause is when a request may come again while another attempt of it is on trial, or
// trials are made elsewhere.
const trialPause = time.Second

// isQuarantined reports whether a request, nil for one that is no suspect, is suspected of
// enough crashes.
func (l *Ledger) isQuarantined(known *suspect) bool {
	return known != nil && len(known.crashes) >= l.config.Threshold
}

// QuarantinedByNextCrash reports whether a request is in quarantine, or will be by one more
// crash.
func (l *Ledger) QuarantinedByNextCrash(signature Signature) bool {
	return len(l.SuspectedOf(signature)) >= l.config.Threshold-1
}

// quarantineTime is how long a request is refused after a number of crashes.
func (l *Ledger) quarantineTime(crashes int) time.Duration {
	period := l.config.Period
	for range crashes - l.config.Threshold {
		period *= 2
		if period >= l.config.Keep {
			return l.config.Keep
		}
	}
	return period
}

// EndTrial ends a trial, however it went.
func (l *Ledger) EndTrial(signature Signature) {
	if known, exists := l.suspects[signature]; exists {
		known.onTrial = false
	}
}

// TrialNode returns the one of some nodes that runs the trials of a request: the one that
// ranks highest by a hash of both. Nodes that disagree on who is there may choose different
// ones, which costs a back end for each at most.
func TrialNode(signature Signature, nodes []string) string {
	chosen, highest := "", uint64(0)
	for _, node := range nodes {
		rank := xxhash.Sum64(append(signature[:], node...))
		if chosen == "" || rank > highest || (rank == highest && node < chosen) {
			chosen, highest = node, rank
		}
	}
	return chosen
}
