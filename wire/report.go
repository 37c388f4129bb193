package wire

import "net/http"

// Report is the metadata that a node sends to the calling process with each answer.
type Report struct {
	// Attempt is the value of CallContext.Attempt.
	Attempt string
	// UnusedRetries is the number of delegated retries (CallContext.RetryAllowance) that
	// were not used.
	UnusedRetries int
	// Level is the lowest priority that would be admitted now by the node and by all
	// nodes that it called for this request, 0 to 1024.
	Level int
	// Pressure is the highest pressure that the request encountered at this node or at the
	// nodes below it: the time waited for a slot as a multiple of the policy's queue time.
	// It is sent in whole percent, as are Load and FaultRate.
	Pressure float64
	// LoadKnown is true if the node reported its load.
	LoadKnown bool
	// Load of the node: running and waiting requests, as a share of the requests that its
	// back end runs concurrently.
	Load float64
	// FaultRate is the share of recent requests that failed through the back end's own fault:
	// answers that were lost or malformed, and failures of the back end itself.
	FaultRate float64
	// CausedDownstream is true if the back end failed because a call of its own had failed. The
	// answer is then no evidence of a fault of the back end.
	CausedDownstream bool
	// Leaving is true if the answering node is stopping.
	Leaving bool
	// Replayed is true if the answer was stored by an earlier run.
	Replayed bool
}

// Names of the values of a Report in the header. It also uses nameAttempt.
const (
	nameUnusedRetries    = "unspent"
	nameLevel            = "level"
	namePressure         = "pressure"
	nameLoad             = "load"
	nameFaultRate        = "faults"
	nameCausedDownstream = "inherited"
	nameLeaving          = "leaving"
	nameReplayed         = "replayed"
)

// Write sets HeaderReport.
func (r *Report) Write(header http.Header) {
	list := newListWriter()
	list.addText(nameAttempt, r.Attempt)
	list.addNumber(nameUnusedRetries, int64(r.UnusedRetries))
	list.addNumber(nameLevel, int64(r.Level))
	list.addNumber(namePressure, toPercent(r.Pressure))
	if r.LoadKnown {
		// The list leaves out zeros, so an idle node sends 1% instead of 0.
		list.addNumber(nameLoad, max(toPercent(r.Load), 1))
	}
	list.addNumber(nameFaultRate, toPercent(r.FaultRate))
	list.addFlag(nameCausedDownstream, r.CausedDownstream)
	list.addFlag(nameLeaving, r.Leaving)
	list.addFlag(nameReplayed, r.Replayed)
	header[HeaderReport] = []string{list.String()}
}

// ReadReport reads HeaderReport. Missing and malformed values are zero.
func ReadReport(header http.Header) Report {
	var r Report
	readList(header.Get(HeaderReport), func(name, value string) {
		switch name {
		case nameAttempt:
			r.Attempt = value
		case nameUnusedRetries:
			r.UnusedRetries = int(parseNumber(value))
		case nameLevel:
			r.Level = int(parseNumber(value))
		case namePressure:
			r.Pressure = fromPercent(parseNumber(value))
		case nameLoad:
			r.Load = fromPercent(max(parseNumber(value), 0))
			r.LoadKnown = r.Load > 0
		case nameFaultRate:
			r.FaultRate = fromPercent(parseNumber(value))
		case nameCausedDownstream:
			r.CausedDownstream = value == "1"
		case nameLeaving:
			r.Leaving = value == "1"
		case nameReplayed:
			r.Replayed = value == "1"
		}
	})
	return r
}

const percent = 100

// toPercent converts a share into whole percent, rounded down.
func toPercent(share float64) int64 { return int64(percent * share) }

// fromPercent converts a number of percent into a share.
func fromPercent(number int64) float64 { return float64(number) / percent }
