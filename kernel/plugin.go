package kernel

import (
	"fmt"
	"sort"

	"github.com/loomcleat/loomcleat/result"
)

// Handler serves a call. The error is a *result.Error. The caller of Handle closes the
// body of the answer.
type Handler interface {
	Handle(call *Call) (*Answer, error)
}

// HandlerFunc is an adapter that makes a function a Handler.
type HandlerFunc func(call *Call) (*Answer, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(call *Call) (*Answer, error) { return f(call) }

// Middleware wraps the next Handler of a chain.
type Middleware func(next Handler) Handler

// Setup sets up a plug-in for a process. It may add middleware, control handlers, periodic
// tasks and hooks.
type Setup func(process *Process) error

// registration is a registered plug-in.
type registration struct {
	name  string
	order int
	setup Setup
}

// registry holds the registered plug-ins by name. Only init functions write to it.
var registry = map[string]registration{}

// Register registers a plug-in. The init functions of plug-in packages call it. Plug-ins
// are set up in ascending order of stage, then name, so that a plug-in may use the
// services of earlier stages. It panics when the name is already registered.
func Register(name string, stage Stage, setup Setup) {
	if _, exists := registry[name]; exists {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", name))
	}
	registry[name] = registration{name: name, order: int(stage), setup: setup}
}

// Stage is the set-up stage of a plug-in.
type Stage int

// Stages.
const (
	StageServices Stage = iota // Plug-ins that provide services to others.
	StageTraffic               // Plug-ins that handle calls.
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

// buildChain chains the middleware of the named plug-ins in the given order and skips names
// without middleware. The last middleware must answer the call.
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
