package kernel

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminRoutes returns the handler of the admin listener: metrics, probes and status.
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
