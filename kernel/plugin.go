package kernel

import (
	"fmt"
	"sort"

	"github.com/loomcleat/loomcleat/result"
)

// Handler serves a call. The error is a *result.Error. The caller closes the
// body of the answer.
type Handler interface {
	Handle(call *Call) (*Answer, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(call *Call) (*Answer, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(call *Call) (*Answer, error) { return f(call) }

// Middleware puts a plug-in in front of the next Handler.
type Middleware func(next Handler) Handler

// Setup prepares a plug-in for one process: it may add middleware, control
// handlers, timers and hooks.
type Setup func(process *Process) error

// registration is a plug-in that has registered itself.
type registration struct {
	name  string
	order int
	setup Setup
}

// registry holds the registered plug-ins. It is written by init functions only.
var registry = map[string]registration{}

// Register adds a plug-in. It is called from init functions of plug-in
// packages. Plug-ins are set up in ascending order of stage, then name: a
// plug-in may use what one of an earlier stage provides.
func Register(name string, stage Stage, setup Setup) {
	if _, exists := registry[name]; exists {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", name))
	}
	registry[name] = registration{name: name, order: int(stage), setup: setup}
}

// Stage orders the set-up of plug-ins.
type Stage int

// Stages.
const (
	StageServices Stage = iota // provides services to other plug-ins
	StageTraffic               // handles calls
)

// setUpPlugins sets up all registered plug-ins.
func setUpPlugins(process *Process) error {
	ordered := make([]registration, 0, len(registry))
	for _, plugin := range registry {
		ordered = append(ordered, plugin)
	}
	sort.Slice(ordered, func(i, j int) bool {
		if ordered[i].order != ordered[j].order {
			return ordered[i].order < ordered[j].order
		}
		return ordered[i].name < ordered[j].name
	})
	for _, plugin := range ordered {
		if err := plugin.setup(process); err != nil {
			return result.Wrap(result.Internal, err, "setting up plug-in %s", plugin.name)
		}
	}
	return nil
}

// buildChain joins the middleware of the named plug-ins. Names without
// middleware are passed over; the last one must answer.
func buildChain(names []string, middleware map[string]Middleware) Handler {
	var next Handler = HandlerFunc(func(*Call) (*Answer, error) {
		return nil, result.New(result.Internal, "no plug-in answered the call")
	})
	for i := len(names) - 1; i >= 0; i-- {
		if wrap, exists := middleware[names[i]]; exists {
			next = wrap(next)
		}
	}
	return next
}
