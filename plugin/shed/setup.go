// Package shed refuses a share of the requests of external callers where they enter the mesh,
// before any work is done, while services further down the call path are under pressure.
//
// It owns one admission.Gate per route, which decides. It applies only to routes of the policy's
// route table. Without a route table, plug-in routing refuses by admission level.
package shed

import "github.com/loomcleat/loomcleat/kernel"

const name = "shed"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	g := &gates{process: process, byPath: map[string]*routeGate{}}
	process.UseOutbound(name, g.middleware)
	return nil
}
