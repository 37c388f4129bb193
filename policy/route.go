package policy

import (
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Route maps the requests of one host and path prefix to services and sets how they are
// handled. Its settings override those of the service's entry in the tree.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string `json:"name"`
	// Host is the Host header without a port, compared without case.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash. The longest matching prefix of a
	// host wins.
	PathPrefix string `json:"path_prefix"`
	// Split distributes the requests among services by weight. It has at least one
	// part with a positive weight.
	Split []SplitPart `json:"split"`
	// Repeatable reports that a request may be executed more than once.
	Repeatable bool `json:"repeatable"`
	// Timeout is the time limit of a request. 0: the deadline from the tree applies.
	Timeout Duration `json:"timeout,omitempty"`
	// TargetLatency is the latency up to which an answer has its full value. 0:
	// none is set.
	TargetLatency Duration `json:"target_latency,omitempty"`
	// MaximumAttempts is the maximum number of back ends that one request is sent
	// to, at least 1.
	MaximumAttempts int `json:"max_attempts"`
	// Class is the importance of the requests.
	Class Class `json:"class"`
	// Public reports that callers need no key, even if Document.KeysRequired is set.
	Public bool `json:"public,omitempty"`
}

// SplitPart is the share of one service in a Route.
type SplitPart struct {
	Service string `json:"service"`
	// Weight is relative to that of the other parts, 0 or more.
	Weight int `json:"weight"`
}

// check returns a result.PolicyInvalid error for an invalid route.
func (r *Route) check() error {
	validPrefix := strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/")
	switch {
	case r.Host == "":
		return result.New(result.PolicyInvalid, "route %q: it has no host", r.Name)
	case !validPrefix:
		return result.New(result.PolicyInvalid, "route %q: the path prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	case r.MaximumAttempts < 1:
		return result.New(result.PolicyInvalid, "route %q: max_attempts must be 1 or more", r.Name)
	case r.Timeout < 0 || r.TargetLatency < 0:
		return result.New(result.PolicyInvalid, "route %q: a duration is negative", r.Name)
	}
	return r.checkSplit()
}

func (r *Route) checkSplit() error {
	total := 0
	for _, part := range r.Split {
		if part.Service == "" || part.Weight < 0 {
			return result.New(result.PolicyInvalid, "route %q: a part of the split has no service or a negative weight", r.Name)
		}
		total += part.Weight
	}
	if total == 0 {
		return result.New(result.PolicyInvalid, "route %q: the weights of the split add up to 0", r.Name)
	}
	return nil
}

// Apply returns the settings of the service, overridden by those of the route.
func (r *Route) Apply(settings Effective) Effective {
	settings.Path = routePathPrefix + r.Name
	settings.Known = true
	settings.Class = r.Class
	settings.Repeatable = r.Repeatable
	settings.RetryBudget = r.retryBudget()
	settings.MaximumAttempts = r.MaximumAttempts
	if r.Timeout > 0 {
		settings.Deadline = time.Duration(r.Timeout)
	}
	settings.TargetLatency = time.Duration(r.TargetLatency)
	settings.Public = r.Public
	return settings
}

// retriesPerExtraAttempt is the number of retries of a user request, in its whole call
// graph, for each attempt that its route allows beyond the first. The attempts of a route
// bound a single call, but a request may need many calls, so one retry for all of them
// would be too few. retrybudget.Shared bounds the retries of all requests together.
const retriesPerExtraAttempt = 16

// retryBudget returns the number of retries that a user request on the route may cause in
// its whole call graph.
func (r *Route) retryBudget() int {
	return min(max(r.MaximumAttempts-1, 0)*retriesPerExtraAttempt, MaximumRetryBudget)
}

// routePathPrefix begins Effective.Path for settings from a route. It is not valid in a
// path of the tree.
const routePathPrefix = "route:"

// ServiceAt maps position, a number in [0, 1), to a service in proportion to the weights
// of the split. A uniformly random position selects services by weight.
func (r *Route) ServiceAt(position float64) string {
	total := 0
	for _, part := range r.Split {
		total += part.Weight
	}
	cumulative := 0.0
	for _, part := range r.Split {
		cumulative += float64(part.Weight) / float64(total)
		if position < cumulative {
			return part.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// RouteTable finds the route of a request. It is immutable and safe for concurrent use.
type RouteTable struct {
	byHost map[string]map[string]*Route // by host in lower case, then by path prefix
}

func newRouteTable(routes []Route) *RouteTable {
	table := &RouteTable{byHost: make(map[string]map[string]*Route, len(routes))}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if table.byHost[host] == nil {
			table.byHost[host] = map[string]*Route{}
		}
		table.byHost[host][routes[i].PathPrefix] = &routes[i]
	}
	return table
}

// Empty reports whether there are no routes.
func (t *RouteTable) Empty() bool { return len(t.byHost) == 0 }

// Find returns the route of the host with the longest prefix of path, or nil. host has no
// port; path is the escaped path.
func (t *RouteTable) Find(host, path string) *Route {
	prefixes := t.byHost[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if found, exists := prefixes[path[:slash+1]]; exists {
			return found
		}
		end = slash
	}
	return nil
}

// Limits bounds the requests and connections of callers. A value of 0 means that the
// document sets no bound.
type Limits struct {
	// MaximumHeader and MaximumBody are in bytes.
	MaximumHeader int64 `json:"max_header,omitempty"`
	MaximumBody   int64 `json:"max_body,omitempty"`
	// HeaderTimeout is the time limit for reading a request's header, IdleTimeout
	// how long a connection may be idle.
	HeaderTimeout Duration `json:"header_timeout,omitempty"`
	IdleTimeout   Duration `json:"idle_timeout,omitempty"`
}
