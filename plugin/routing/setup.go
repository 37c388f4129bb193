// Package routing sends each attempt of a call to a node of its service. It refuses calls that a
// service further down the call path would refuse.
//
// It owns one balancer per service and the connections to nodes. Package balance chooses the
// nodes from the members that plug-in membership publishes.
package routing

import (
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

const name = "routing"

// Limits of the connections to nodes.
const (
	// dialTimeout is far above a round trip between regions.
	dialTimeout = 500 * time.Millisecond
	// maximumIdle is the number of idle connections kept open to one node.
	maximumIdle = 64
	idleTimeout = 60 * time.Second
)

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	r := &router{
		process:   process,
		balancers: map[string]*balance.Balancer{},
		transmitter: kernel.NewTransmitter(kernel.TransmitterConfig{
			DialTimeout: dialTimeout,
			MaximumIdle: maximumIdle,
			IdleTimeout: idleTimeout,
			Dial:        process.Dial,
			Refused:     result.NodeRefused,
		}),
	}
	process.UseOutbound(name, func(kernel.Handler) kernel.Handler { return kernel.HandlerFunc(r.handle) })
	process.OnMembers(r.update)
	return nil
}
