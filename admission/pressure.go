package admission

import "time"

// Pressure is how long a request waited for slots, as a multiple of the time that it
// should wait at most (the queue time of its policy). Nodes measure it, answers carry the
// highest that a request met in its call graph, and gates admit as much as keeps its mean
// at 1. What ends without having waited is given a pressure of its own, since it is a
// worse sign than a wait: these are all of them, in order.
const (
	// TimeoutPressure is that of an attempt that was not answered in time: whoever might
	// have told how long it waited did not get to it. Counted as none, gates opened under
	// overload. Above 1, so that they close; no other value was compared.
	TimeoutPressure = 3
	// RefusedPressure is the least of a request that a node refused or that gave up while
	// it waited, and that of one that the back end itself turned away with no attempt left:
	// what is admitted for such a service is not finished. No other value was compared.
	RefusedPressure = 4
	// WastedPressure is the least of a request that was admitted where it entered and
	// failed under pressure further down, after other services may have worked for it.
	// With a mean of 1, one request in WastedPressure may fail; with RefusedPressure it
	// would be one in four. An estimate: no measurement shows the gain.
	WastedPressure = 10
)

// objectiveShare is the part of a route's target latency that its requests may take on
// average once they wait for slots. More would leave too little for those that take
// longer than others; less would leave slots idle, and refuse requests that could have
// been served in time.
const objectiveShare = 0.7

// WaitPressure returns the pressure of a request that waited for a slot beside one back
// end. queueTime is what it should wait at most; refused says that it got no slot.
func WaitPressure(waited, queueTime time.Duration, refused bool) float64 {
	pressure := waited.Seconds() / queueTime.Seconds()
	if refused {
		return max(pressure, RefusedPressure)
	}
	return pressure
}

// RoutePressure returns the pressure that a request counts at the gate of its route. met
// is the highest that it met further down. One that was served after waiting is measured
// by the target latency, 0 for none: a wait that the objective bears is none. One that
// failed without having waited, as by a lost answer, is no sign of overload.
func RoutePressure(met float64, failed bool, taken, target time.Duration) float64 {
	waited := met > 1
	switch {
	case waited && failed:
		return max(met, WastedPressure)
	case waited && target > 0:
		return taken.Seconds() / (objectiveShare * target.Seconds())
	default:
		return met
	}
}
