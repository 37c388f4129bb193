package emulator

import (
	"time"

	"github.com/loomcleat/loomcleat/policy"
)

// Service models the back ends of one service.
type Service struct {
	Name     string
	Backends int
	Slots    int           // of each back end; one is held during own work
	Queue    int           // requests beyond the slots that a back end takes before it sheds
	Work     time.Duration // mean own work of a request
}

// Kind is one kind of user request: a chain of calls through services.
type Kind struct {
	Name       string
	Class      policy.Class
	Share      float64  // of the demand
	Chain      []string // services, each calling the next
	Repeatable bool
	Deadline   time.Duration
}

// Mesh is a modelled mesh.
type Mesh struct {
	Name     string
	Services []Service
	Kinds    []Kind
	Zones    int
	ZoneWay  time.Duration // between zones, one way
	Callers  time.Duration // between callers and gateways, one way
}

// Vodorez is the ferry ticketing mesh at its size of today.
func Vodorez() Mesh {
	return Mesh{
		Name: "vodorez", Zones: 3, ZoneWay: 500 * time.Microsecond, Callers: time.Millisecond,
		Services: []Service{
			{Name: "timetable", Backends: 3, Slots: 16, Queue: 84, Work: 24 * time.Millisecond},
			{Name: "fares", Backends: 3, Slots: 12, Queue: 88, Work: 30 * time.Millisecond},
			{Name: "booking", Backends: 3, Slots: 20, Queue: 80, Work: 45 * time.Millisecond},
			{Name: "passes", Backends: 3, Slots: 10, Queue: 90, Work: 36 * time.Millisecond},
		},
		Kinds: []Kind{
			{Name: "timetable", Class: policy.Interactive, Share: 0.45, Chain: []string{"timetable", "fares"}, Repeatable: true, Deadline: time.Second},
			{Name: "fares", Class: policy.Default, Share: 0.30, Chain: []string{"fares"}, Repeatable: true, Deadline: time.Second},
			{Name: "pay", Class: policy.Critical, Share: 0.10, Chain: []string{"booking", "fares"}, Deadline: 2 * time.Second},
			{Name: "passes", Class: policy.Interactive, Share: 0.15, Chain: []string{"passes", "booking"}, Repeatable: true, Deadline: time.Second},
		},
	}
}

// Cofrestr is the vehicle registration mesh at its size of today.
func Cofrestr() Mesh {
	return Mesh{
		Name: "cofrestr", Zones: 3, ZoneWay: time.Millisecond, Callers: 3 * time.Millisecond,
		Services: []Service{
			{Name: "lookup", Backends: 4, Slots: 10, Queue: 120, Work: 30 * time.Millisecond},
			{Name: "register", Backends: 3, Slots: 8, Queue: 122, Work: 40 * time.Millisecond},
			{Name: "export", Backends: 3, Slots: 5, Queue: 125, Work: 120 * time.Millisecond},
			{Name: "history", Backends: 4, Slots: 8, Queue: 122, Work: 40 * time.Millisecond},
		},
		Kinds: []Kind{
			{Name: "lookup", Class: policy.Interactive, Share: 0.55, Chain: []string{"lookup", "register"}, Repeatable: true, Deadline: time.Second},
			{Name: "transfer", Class: policy.Critical, Share: 0.10, Chain: []string{"register", "history"}, Deadline: 3 * time.Second},
			{Name: "history", Class: policy.Default, Share: 0.25, Chain: []string{"history", "lookup", "register"}, Repeatable: true, Deadline: time.Second},
			{Name: "export", Class: policy.Bulk, Share: 0.10, Chain: []string{"export", "history"}, Repeatable: true, Deadline: 5 * time.Second},
		},
	}
}

// Chain is a mesh with a chain of four services, whose last one is the
// narrowest.
func Chain() Mesh {
	chain := []string{"a", "b", "c", "d"}
	return Mesh{
		Name: "chain", Zones: 3, ZoneWay: 500 * time.Microsecond, Callers: time.Millisecond,
		Services: []Service{
			{Name: "a", Backends: 3, Slots: 20, Queue: 80, Work: 20 * time.Millisecond},
			{Name: "b", Backends: 3, Slots: 20, Queue: 80, Work: 20 * time.Millisecond},
			{Name: "c", Backends: 3, Slots: 20, Queue: 80, Work: 20 * time.Millisecond},
			{Name: "d", Backends: 3, Slots: 10, Queue: 90, Work: 40 * time.Millisecond},
		},
		Kinds: []Kind{
			{Name: "critical", Class: policy.Critical, Share: 0.1, Chain: chain, Deadline: time.Second},
			{Name: "interactive", Class: policy.Interactive, Share: 0.3, Chain: chain, Repeatable: true, Deadline: time.Second},
			{Name: "default", Class: policy.Default, Share: 0.4, Chain: chain, Repeatable: true, Deadline: time.Second},
			{Name: "bulk", Class: policy.Bulk, Share: 0.2, Chain: chain, Repeatable: true, Deadline: time.Second},
		},
	}
}

// find returns the model of a service.
func (m Mesh) find(name string) Service {
	for _, service := range m.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{}
}

// capacity returns the rate of user requests, a second, at which the narrowest
// service is fully used when nothing is wasted.
func (m Mesh) capacity() float64 {
	lowest := 0.0
	for _, service := range m.Services {
		needed := 0.0 // slot time of one average user request
		for _, kind := range m.Kinds {
			for _, name := range kind.Chain {
				if name == service.Name {
					needed += kind.Share * service.Work.Seconds()
				}
			}
		}
		if needed == 0 {
			continue
		}
		rate := float64(service.Backends*service.Slots) / needed
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}
