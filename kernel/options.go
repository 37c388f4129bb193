package kernel

import (
	"context"
	"net"
	"net/http"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

// Options are what a Process is given by the program that embeds it.
type Options struct {
	Settings settings.Settings
	Log      *event.Logger
	Store    store.Store       // nil: none
	Machines store.MachineList // nil: none
	// Dial opens connections to other processes. Embedders may use it to reach
	// them in another way, tests to cut them off. Default: a net.Dialer.
	Dial DialFunc
	// Dialect names the headers of callers and back ends. The zero value is
	// that of plain HTTP.
	Dialect wire.Dialect
	// Endpoints are further listeners, for what the platform asks of a process.
	Endpoints []Endpoint
	// Registry is where the process enters itself, so that others find it.
	// Nil: none.
	Registry store.Registry
}

// Endpoint is a listener that is served apart from those of the settings.
type Endpoint struct {
	Address string // IP:port
	Handler func(process *Process) http.Handler
}

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
