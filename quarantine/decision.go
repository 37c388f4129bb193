package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is the decision on an attempt of a request.
type Verdict int

// Verdicts.
const (
	Admit  Verdict = iota // send the attempt to the back end
	Refuse                // the request is quarantined
	Trial                 // send the attempt to the back end, and call EndTrial when it has ended
)

// Decide applies the rule for an attempt of a request:
//
//	suspected of fewer crashes than Threshold            Admit
//	quarantine time after the last crash not over        Refuse for the rest of that time
//	a trial is running, or another node runs the trials  Refuse for trialRetryAfter
//	otherwise                                            Trial
//
// The quarantine time is Period, doubled for each crash above Threshold, up to Keep. The
// returned duration is how long the caller of a refused attempt should wait. runsTrials
// reports whether this process is the one that runs the trials of the request, so that a
// request which still crashes back ends crashes only one at a time.
func (l *Ledger) Decide(now time.Time, signature Signature, runsTrials func() bool) (Verdict, time.Duration) {
	known := l.suspects[signature]
	if !l.isQuarantined(known) {
		return Admit, 0
	}
	left := l.quarantineTime(len(known.crashes)) - now.Sub(known.last)
	if left > 0 {
		return Refuse, left
	}
	if known.trialRunning || !runsTrials() {
		return Refuse, trialRetryAfter
	}
	known.trialRunning = true
	return Trial, 0
}

// trialRetryAfter is the time after which a request may be retried while another trial is
// running or another node runs the trials.
const trialRetryAfter = time.Second

// isQuarantined reports whether a request is suspected of at least Threshold crashes. known
// is nil for a request that is not a suspect.
func (l *Ledger) isQuarantined(known *suspect) bool {
	return known != nil && len(known.crashes) >= l.config.Threshold
}

// QuarantinedByNextCrash reports whether a request is quarantined or will be after one more
// crash.
func (l *Ledger) QuarantinedByNextCrash(signature Signature) bool {
	return len(l.SuspectedOf(signature)) >= l.config.Threshold-1
}

// quarantineTime returns how long a request is refused after the given number of crashes.
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

// EndTrial ends a trial, whatever its outcome.
func (l *Ledger) EndTrial(signature Signature) {
	if known, exists := l.suspects[signature]; exists {
		known.trialRunning = false
	}
}

// TrialNode returns the node that runs the trials of a request: the one with the highest hash
// of the signature and its name. Nodes with different views of the membership may choose
// different ones; each choice then costs at most one back end.
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
