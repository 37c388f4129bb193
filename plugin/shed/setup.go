// Package shed refuses requests of callers where they enter, before any work, when their
// route meets pressure further down. Package admission decides by a Gate a route; this
// package owns the gates of its process. It serves routes of the policy's route table
// only: without one, plug-in routing refuses by level.
package shed

import "github.com/loomcleat/loomcleat/kernel"

const name = "shed"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	g := &gates{process: process, byPath: map[string]*routeGate{}}
	process.UseOutbound(name, g.middleware)
	return nil
}
