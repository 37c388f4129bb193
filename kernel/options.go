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

// Options are the inputs of a Process from the program that embeds it.
type Options struct {
	Settings settings.Settings
	Log      *event.Logger
	Store    store.Store       // optional
	Machines store.MachineList // optional
	// Dial opens connections to other processes. The default is a socket.Dialer.
	Dial DialFunc
	// Listen binds an address. The default is socket.Listen.
	Listen ListenFunc
	// Dialect names the headers used by callers and back ends. The zero value stands
	// for plain HTTP.
	Dialect wire.Dialect
	// Endpoints are additional listeners that the platform requires of a process.
	Endpoints []Endpoint
	// Registry is where the process registers itself so that other processes find it.
	// Optional.
	Registry store.Registry
}

// Endpoint is a listener in addition to those of the settings.
type Endpoint struct {
	Address string // IP:port
	Handler func(process *Process) http.Handler
}

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ListenFunc binds a TCP address.
type ListenFunc func(address string) (net.Listener, error)
