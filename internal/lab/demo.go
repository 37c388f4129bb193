package lab

import (
	"time"

	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/policy"
)

// DemoGraph returns the call graph of the demo: a booking looks up a fare, then charges.
func DemoGraph() backend.Graph {
	return backend.Graph{
		"booking": {Slots: 20, Queue: 100, Routes: []backend.Route{
			{Match: "POST /bookings", Work: 2 * time.Millisecond, Stages: [][]backend.Call{
				{{Service: "payment", Method: "GET", Path: "/fares/1"}},
				{{Service: "payment", Method: "POST", Path: "/charges"}},
			}},
			{Match: "GET /**", Work: 1 * time.Millisecond},
		}},
		"payment": {Slots: 20, Queue: 100, Routes: []backend.Route{
			{Match: "POST /charges", Work: 3 * time.Millisecond},
			{Match: "GET /**", Work: 1 * time.Millisecond},
		}},
	}
}

// DemoPolicy returns the edits that build the policy tree of the demo.
func DemoPolicy() []policy.Change {
	return []policy.Change{
		{Path: "ferries", Key: "class", Value: "interactive"},
		{Path: "ferries/sales/booking", Key: "deadline", Value: "2s"},
		{Path: "ferries/sales/booking POST /bookings", Key: "class", Value: "critical"},
		{Path: "ferries/sales/payment", Key: "deadline", Value: "1s"},
	}
}

// DemoLoad returns the load of the demo: three reads for each booking.
func DemoLoad() []LoadRequest {
	read := LoadRequest{Service: "booking", Method: "GET", Path: "/sailings"}
	book := LoadRequest{Service: "booking", Method: "POST", Path: "/bookings"}
	return []LoadRequest{read, read, read, book}
}
