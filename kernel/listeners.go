package kernel

import (
	"net"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/transport/socket"
)

// listeners are the bound listeners of a process.
type listeners struct {
	traffic, outbound, control, admin net.Listener
	endpoints                         []net.Listener // in the order of Process.endpoints
}

// listen binds all addresses of the settings and endpoints. If one cannot be bound, it
// closes the others and returns a result.AddressInUse error.
func (p *Process) listen(bind ListenFunc) error {
	if bind == nil {
		bind = socket.Listen
	}
	targets := []struct {
		address string
		into    *net.Listener
		needed  bool
	}{
		{p.Settings.Listen, &p.listeners.traffic, true},
		{p.Settings.Outbound, &p.listeners.outbound, p.IsNode()},
		{p.Settings.Control, &p.listeners.control, true},
		{p.Settings.Admin, &p.listeners.admin, true},
	}
	for _, target := range targets {
		if !target.needed {
			continue
		}
		listener, err := bind(target.address)
		if err != nil {
			p.listeners.close()
			return result.Wrap(result.AddressInUse, err, "cannot listen on %s", target.address)
		}
		*target.into = listener
	}
	for _, endpoint := range p.endpoints {
		listener, err := bind(endpoint.Address)
		if err != nil {
			p.listeners.close()
			return result.Wrap(result.AddressInUse, err, "cannot listen on %s", endpoint.Address)
		}
		p.listeners.endpoints = append(p.listeners.endpoints, listener)
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range append([]net.Listener{l.traffic, l.outbound, l.control, l.admin}, l.endpoints...) {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func addressOf(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// TrafficAddress returns the bound traffic address.
func (p *Process) TrafficAddress() string { return addressOf(p.listeners.traffic) }

// OutboundAddress returns the bound address for calls of the back end.
func (p *Process) OutboundAddress() string { return addressOf(p.listeners.outbound) }

// ControlAddress returns the bound control address.
func (p *Process) ControlAddress() string { return addressOf(p.listeners.control) }

// AdminAddress returns the bound address for metrics and probes.
func (p *Process) AdminAddress() string { return addressOf(p.listeners.admin) }
