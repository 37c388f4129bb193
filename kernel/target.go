package kernel

import (
	"net"
	"net/http"
	"strings"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
)

// target is the service of a request and its effective policy.
type target struct {
	service string
	policy  policy.Effective
	routed  bool // chosen by the route table
}

// routeTarget returns the target of a request by the route table of the policy tree. When no route
// matches, it returns a result.NoRoute error, or a result.PolicyOutdated error if a newer policy may
// have one. Without a route table, service returns the name of the service.
func (p *Process) routeTarget(r *http.Request, service func(*http.Request) string) (target, error) {
	index := p.Policy.Load()
	path := r.URL.EscapedPath()
	if index.Routes().Empty() {
		name := service(r)
		return target{service: name, policy: index.Resolve(name, r.Method, path)}, nil
	}
	route := index.Routes().Find(hostName(r.Host), path)
	if route == nil {
		return target{}, p.noRoute(index.Revision(), r.Host+path)
	}
	name := route.ServiceAt(p.splits.next(route.Name))
	return target{service: name, policy: route.Apply(index.Resolve(name, r.Method, path)), routed: true}, nil
}

// noRoute returns the error for a request to which no route of a revision leads. Callers take
// result.NoRoute for final and don't try again.
func (p *Process) noRoute(revision uint64, address string) error {
	if p.Documents.MayBeOutdated(revision) {
		return result.New(result.PolicyOutdated, "no route of revision %d leads to %s, which may not be the newest revision", revision, address).WithUsualRetryAfter()
	}
	return result.New(result.NoRoute, "no route of revision %d leads to %s", revision, address)
}

// routeService returns the service of a request by the routes in the settings, or by the
// first label of the host when none matches.
func (p *Process) routeService(r *http.Request) string {
	host := hostName(r.Host)
	for _, route := range p.Settings.Routes {
		if route.Host != "" && route.Host != host {
			continue
		}
		if strings.HasPrefix(r.URL.Path, route.PathPrefix) {
			return route.Service
		}
	}
	return firstLabel(host)
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func firstLabel(host string) string {
	label, _, _ := strings.Cut(host, ".")
	return label
}

// serviceOfHost returns the first label of the Host header.
func serviceOfHost(r *http.Request) string { return firstLabel(hostName(r.Host)) }
