package admission

import "time"

// Pressure is the time that a request waited for slots, as a multiple of the queue time
// of its policy. Nodes measure it, an answer carries the highest pressure in the call
// graph of its request, and gates keep the mean at about 1. A failed request is a worse
// sign than a wait; it counts with one of the following pressures, in increasing order.
const (
	// TimeoutPressure is the pressure of an attempt without an answer in time: its wait is
	// unknown. It is above 1, since gates would otherwise open under overload.
	TimeoutPressure = 3
	// RefusedPressure is the minimum pressure of a request that a node refused or that
	// gave up while queued. It is also the pressure of a request that the back end
	// refused when no attempt was left: what is admitted for such a service is not finished.
	RefusedPressure = 4
	// WastedPressure is the minimum pressure of a request that a gate admitted and that
	// failed under pressure downstream, possibly after other services had worked for it.
	// At a mean pressure of 1, at most one request in WastedPressure can fail like this; with
	// RefusedPressure it would be one in four.
	WastedPressure = 10
)

// objectiveShare is the mean latency at which a gate keeps a route whose requests wait for
// slots, as a share of the target latency. A higher share leaves too little time for
// requests that take longer than others; a lower one leaves slots idle and refuses
// requests that could have been served in time.
const objectiveShare = 0.7

// WaitPressure returns the pressure of a request that waited for a slot of one back end.
// queueTime is that of the policy; refused reports that the request got no slot.
func WaitPressure(waited, queueTime time.Duration, refused bool) float64 {
	pressure := waited.Seconds() / queueTime.Seconds()
	if refused {
		return max(pressure, RefusedPressure)
	}
	return pressure
}

// RoutePressure returns the pressure with which a request counts at the gate of its route.
// highest is the highest pressure that it met downstream; above 1, the request counts as
// having waited. taken is its latency and target the target latency of the route, 0 for
// none. With a target, a request that waited and was served counts with its latency as a
// multiple of the objective, so that waits within the objective are allowed. A request
// that failed without waiting, for example by a lost answer, is not a sign of overload.
func RoutePressure(highest float64, failed bool, taken, target time.Duration) float64 {
	waited := highest > 1
	switch {
	case waited && failed:
		return max(highest, WastedPressure)
	case waited && target > 0:
		return taken.Seconds() / (objectiveShare * target.Seconds())
	default:
		return highest
	}
}
