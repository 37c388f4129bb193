package kernel

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/loomcleat/loomcleat/result"
)

// servers are the HTTP servers of a process, each a kratos HTTP server. A
// filter answers each request before the router of kratos sees it: the router
// cleans paths and would change what callers sent.
type servers struct {
	list          []*kratoshttp.Server
	controlRoutes *http.ServeMux
}

// Server timeouts. Requests and answers may stream for long, so that only the
// header and idle connections are bounded.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	stopTimeout       = 2 * time.Second
)

func newServers(p *Process) servers {
	s := servers{controlRoutes: http.NewServeMux()}
	if p.listeners.traffic != nil {
		if p.IsNode() {
			s.add(p.listeners.traffic, http.HandlerFunc(p.serveInbound))
		} else {
			s.add(callerListener{Listener: p.listeners.traffic}, http.HandlerFunc(p.serveGateway))
		}
	}
	if p.listeners.outbound != nil {
		s.add(p.callers(p.listeners.outbound), p.outboundHandler())
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

// callers returns the listener for what the back end and, at an entry, callers
// outside the mesh send.
func (p *Process) callers(listener net.Listener) net.Listener {
	if !p.Settings.Entry {
		return callerListener{Listener: listener}
	}
	return callerListener{Listener: listener, start: p.startAhead}
}

func (s *servers) add(listener net.Listener, handler http.Handler) {
	answerAll := func(http.Handler) http.Handler { return handler }
	// Without an endpoint, kratos looks for one among the network interfaces,
	// which cannot be listed everywhere.
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

// stop closes listeners and idle connections, then the rest.
func (s *servers) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range s.list {
		_ = server.Stop(ctx) // what does not end in time is closed below
	}
	s.kill()
}

// kill closes everything.
func (s *servers) kill() {
	for _, server := range s.list {
		_ = server.Close()
	}
}

// adminRoutes are metrics and probes.
func (p *Process) adminRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.Handle("GET /metrics", promhttp.HandlerFor(p.Metrics, promhttp.HandlerOpts{}))
	routes.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	routes.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ready() || p.Leaving() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	routes.HandleFunc("GET /status", p.serveStatus)
	return routes
}

func (p *Process) serveStatus(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, p.Status())
}

// WriteJSON answers a control request.
func WriteJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		result.Wrap(result.Internal, err, "encoding an answer").WriteHTTP(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// maximumControlBody bounds control messages, in bytes. The largest are claims
// that are handed over.
const maximumControlBody = 64 << 20

// ReadJSON reads a control request and answers it when it is malformed. It
// reports whether the request was read.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumControlBody))
	if err := decoder.Decode(into); err != nil {
		result.Wrap(result.BadRequest, err, "the control message is not understood").WriteHTTP(w)
		return false
	}
	return true
}

// countingListener counts the bytes of control messages.
type countingListener struct {
	net.Listener
	counters *Counters
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return controlConn{Conn: conn, counters: l.counters}, nil
}

// controlConn is a connection whose bytes are counted.
type controlConn struct {
	net.Conn
	counters *Counters
}

// Read implements net.Conn.
func (c controlConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counters.ControlReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c controlConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counters.ControlSent.Add(int64(n))
	return n, err
}
