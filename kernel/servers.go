package kernel

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/transport/lingering"
)

// servers are the kratos HTTP servers of a process. A filter answers each request before
// the router of kratos, which would clean the path that the caller sent.
type servers struct {
	list          []*kratoshttp.Server
	controlRoutes *http.ServeMux
}

// Server timeouts. Bodies have none, since requests and answers may be streams.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

func newServers(p *Process) servers {
	s := servers{controlRoutes: http.NewServeMux()}
	if p.listeners.traffic != nil {
		if p.IsNode() {
			s.add(p.lingeringListener(p.listeners.traffic), http.HandlerFunc(p.serveInbound))
		} else {
			s.add(callerListener{Listener: p.lingeringListener(p.listeners.traffic)}, http.HandlerFunc(p.serveGateway))
		}
	}
	if p.listeners.outbound != nil {
		s.add(p.outboundListener(p.listeners.outbound), p.outboundHandler())
	}
	if p.listeners.admin != nil {
		s.add(p.listeners.admin, p.adminRoutes())
	}
	for i, endpoint := range p.endpoints {
		s.add(p.listeners.endpoints[i], endpoint.Handler(p))
	}
	s.add(countingListener{Listener: p.listeners.control, counters: &p.Counters}, s.controlRoutes)
	return s
}

// outboundListener wraps the listener for outbound calls. At an entry its connections serve
// pipelined requests concurrently.
func (p *Process) outboundListener(listener net.Listener) net.Listener {
	accepting := callerListener{Listener: p.lingeringListener(listener)}
	if p.Settings.Entry {
		accepting.start = p.startEarly
	}
	return accepting
}

// lingeringListener wraps a listener for requests, whose connections close in stages.
func (p *Process) lingeringListener(listener net.Listener) lingering.Listener {
	return lingering.Listener{Listener: listener, Background: p.closeInBackground}
}

func (s *servers) add(listener net.Listener, handler http.Handler) {
	answerAll := func(http.Handler) http.Handler { return handler }
	// Without an endpoint, kratos lists the network interfaces, which fails in some
	// environments.
	endpoint := &url.URL{Scheme: "http", Host: listener.Addr().String()}
	server := kratoshttp.NewServer(kratoshttp.Listener(listener), kratoshttp.Endpoint(endpoint),
		kratoshttp.Filter(answerAll), kratoshttp.Timeout(0))
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.ConnContext = withConnection
	s.list = append(s.list, server)
}

func (s *servers) start(p *Process, failed chan<- error) {
	for _, server := range s.list {
		go func() {
			if err := server.Start(p.context); err != nil {
				failed <- result.Wrap(result.Internal, err, "a listener failed")
			}
		}()
	}
}

// stop shuts the servers down gracefully, then closes the connections that remain after the timeout.
func (s *servers) stop(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, server := range s.list {
		_ = server.Stop(ctx) // remaining connections are closed below
	}
	s.kill()
}

// kill closes all listeners and connections.
func (s *servers) kill() {
	for _, server := range s.list {
		_ = server.Close()
	}
}
