// Package routing chooses the node for each attempt of a call and sends it there. It
// refuses calls that a service further down would refuse. It owns a balancer for each
// service and the connections to nodes; package balance chooses, and membership says which
// nodes there are.
package routing

import (
	"time"

	"github.com/loomcleat/loomcleat/balance"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
)

const name = "routing"

// Connections to nodes.
const (
	dialTimeout = 500 * time.Millisecond // far above a round trip between regions
	maximumIdle = 64                     // connections kept open to one node
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
