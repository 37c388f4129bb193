package admission

import (
	"math"
	"time"
)

// patienceDivisor makes a target latency the time that a request may wait for a slot: one
// part in so many. A refusal that comes sooner leaves time to come again. Estimate.
const patienceDivisor = 5

// PatienceOf returns how long a request with a target latency may wait for a slot, 0 when
// there is none (Request.Patience).
func PatienceOf(target time.Duration) time.Duration { return target / patienceDivisor }

// usableShare is the share of a back end's slots that are used. Some back ends become
// slower when the last ones are taken, and a request that was given up may hold one for
// a while. Estimate.
const usableShare = 0.94

// UsableSlots returns how many of the slots that a back end tells are used, at least one
// of them, 0 for none.
func UsableSlots(slots int) int {
	return min(slots, int(math.Ceil(float64(slots)*usableShare)))
}
