package wire

import "net/http"

// Report is what a node tells the calling process with each answer.
type Report struct {
	// Attempt is that of the call's context.
	Attempt string
	// Unspent is the part of the lent retries that was not used.
	Unspent int
	// Level is the lowest priority that the node and everything it called for this
	// request would admit now, 0 to 1024.
	Level int
	// Pressure is the highest pressure that the request met at this node or below: the
	// time waited for a slot as a multiple of what it should be. Sent in whole percent,
	// as the shares below.
	Pressure float64
	// LoadKnown says that the node has told its load.
	LoadKnown bool
	// Load is the load of the node: the requests that its back end works on or that
	// wait, as a share of those that it works on at a time.
	Load float64
	// Faults is the share of requests that the back end failed by itself lately:
	// lost or spoiled answers, and failures of its own.
	Faults float64
	// Inherited says that the answer is a failure of the back end after a call of its
	// own had failed, so that it says nothing about the back end.
	Inherited bool
	// Leaving says that the answering node is stopping.
	Leaving bool
	// Replayed says that the answer is the stored one of an earlier run.
	Replayed bool
}

// Names of the values of a Report, beside those of a CallContext.
const (
	nameUnspent   = "unspent"
	nameLevel     = "level"
	namePressure  = "pressure"
	nameLoad      = "load"
	nameFaults    = "faults"
	nameInherited = "inherited"
	nameLeaving   = "leaving"
	nameReplayed  = "replayed"
)

// Write sets the header of the answer.
func (r *Report) Write(header http.Header) {
	list := newListWriter()
	list.addText(nameAttempt, r.Attempt)
	list.addNumber(nameUnspent, int64(r.Unspent))
	list.addNumber(nameLevel, int64(r.Level))
	list.addNumber(namePressure, inPercent(r.Pressure))
	if r.LoadKnown {
		// An idle node tells so, unlike one that has nothing to tell.
		list.addNumber(nameLoad, max(inPercent(r.Load), 1))
	}
	list.addNumber(nameFaults, inPercent(r.Faults))
	list.addFlag(nameInherited, r.Inherited)
	list.addFlag(nameLeaving, r.Leaving)
	list.addFlag(nameReplayed, r.Replayed)
	header[HeaderReport] = []string{list.String()}
}

// ReadReport reads the header of an answer. What is missing or malformed is zero.
func ReadReport(header http.Header) Report {
	var r Report
	readList(header.Get(HeaderReport), func(name, value string) {
		switch name {
		case nameAttempt:
			r.Attempt = value
		case nameUnspent:
			r.Unspent = int(numberOf(value))
		case nameLevel:
			r.Level = int(numberOf(value))
		case namePressure:
			r.Pressure = fromPercent(numberOf(value))
		case nameLoad:
			r.Load = fromPercent(max(numberOf(value), 0))
			r.LoadKnown = r.Load > 0
		case nameFaults:
			r.Faults = fromPercent(numberOf(value))
		case nameInherited:
			r.Inherited = value == "1"
		case nameLeaving:
			r.Leaving = value == "1"
		case nameReplayed:
			r.Replayed = value == "1"
		}
	})
	return r
}

// percent is the number of percent in a whole.
const percent = 100

// inPercent returns a share in whole percent, rounded down.
func inPercent(share float64) int64 { return int64(percent * share) }

// fromPercent returns the share that a number of percent is.
func fromPercent(number int64) float64 { return float64(number) / percent }
