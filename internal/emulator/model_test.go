package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// service models the back ends of one service.
type service struct {
	name     string
	backends int
	slots    int           // per back end; a request holds one during its own work
	queue    int           // requests beyond slots that a back end accepts before it refuses
	work     time.Duration // mean own work of a request, without calls to other services
}

// kind is one kind of user request. Each passes through all services of the mesh.
type kind struct {
	class      policy.Class
	share      float64 // share of the demand
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
	// requestTimeout is the time from sending a user request to its deadline.
	requestTimeout = time.Second
	// zoneDelay is the one-way network delay between two zones, localDelay within a zone.
	zoneDelay  = 500 * time.Microsecond
	localDelay = 100 * time.Microsecond
	// clientDelay is the one-way network delay between a client and a gateway.
	clientDelay = time.Millisecond
)

// chain returns a mesh whose last service is the bottleneck.
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

// capacity returns the rate, in user requests per second, at which the bottleneck service
// is fully used if no work is wasted.
func (m mesh) capacity() float64 {
	minimum := 0.0
	for _, service := range m.services {
		slotSeconds := 0.0 // per average user request
		for _, kind := range m.kinds {
			slotSeconds += kind.share * service.work.Seconds()
		}
		rate := float64(service.backends*service.slots) / slotSeconds
		if minimum == 0 || rate < minimum {
			minimum = rate
		}
	}
	return minimum
}
