package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// service models the back ends of one service.
type service struct {
	name     string
	backends int
	slots    int           // of each back end; one is held during own work
	queue    int           // requests beyond the slots that a back end takes before it sheds
	work     time.Duration // mean own work of a request
}

// kind is one kind of user request. Each passes through all services of the mesh.
type kind struct {
	class      policy.Class
	share      float64 // of the demand
	repeatable bool
}

// mesh is a chain of services, each of which calls the next one.
type mesh struct {
	services []service
	kinds    []kind
}

const (
	zones    = 3
	gateways = 2
	// requestTime is the time from the sending of a user request to its deadline.
	requestTime = time.Second
	// zoneDelay is the time that a message takes between two zones, localDelay
	// within one.
	zoneDelay  = 500 * time.Microsecond
	localDelay = 100 * time.Microsecond
	// callerDelay is the time that a message takes between a caller and a gateway.
	callerDelay = time.Millisecond
)

// chain returns a mesh whose last service is the narrowest.
func chain() mesh {
	return mesh{
		services: []service{
			{name: "a", backends: 3, slots: 20, queue: 80, work: 20 * time.Millisecond},
			{name: "b", backends: 3, slots: 20, queue: 80, work: 20 * time.Millisecond},
			{name: "c", backends: 3, slots: 20, queue: 80, work: 20 * time.Millisecond},
			{name: "d", backends: 3, slots: 10, queue: 90, work: 40 * time.Millisecond},
		},
		kinds: []kind{
			{class: policy.Critical, share: 0.1},
			{class: policy.Interactive, share: 0.3, repeatable: true},
			{class: policy.Default, share: 0.4, repeatable: true},
			{class: policy.Bulk, share: 0.2, repeatable: true},
		},
	}
}

// capacity returns the rate of user requests, a second, at which the narrowest
// service is fully used when nothing is wasted.
func (m mesh) capacity() float64 {
	lowest := 0.0
	for _, service := range m.services {
		needed := 0.0 // slot seconds of one average user request
		for _, kind := range m.kinds {
			needed += kind.share * service.work.Seconds()
		}
		rate := float64(service.backends*service.slots) / needed
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}
