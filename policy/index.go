package policy

import "sort"

// Index answers Resolve quickly for one Document. It does not change and may
// be shared between goroutines.
type Index struct {
	revision uint64
	entries  map[string]Settings
	services map[string]*serviceEntry
	routes   *RouteTable
	limits   Limits
	tenants  *TenantTable
}

// serviceEntry is what the tree says of one service.
type serviceEntry struct {
	effective  Effective
	repeatable *bool       // as set in the tree, nil when it depends on the method
	calls      []callEntry // the more specific ones first
}

// callEntry is what the tree says of one call path of a service.
type callEntry struct {
	pattern    Pattern
	effective  Effective
	repeatable *bool // as in serviceEntry
}

// NewIndex prepares document for Resolve. A nil document is an empty tree.
func NewIndex(document *Document) *Index {
	if document == nil {
		document = &Document{}
	}
	index := &Index{
		revision: document.Revision,
		entries:  document.Entries,
		services: map[string]*serviceEntry{},
		routes:   newRouteTable(document.Routes),
		limits:   document.Limits,
		tenants:  newTenantTable(document),
	}
	for _, text := range document.Paths() {
		index.add(text)
	}
	for _, service := range index.services {
		sort.Slice(service.calls, func(i, j int) bool {
			return service.calls[i].pattern.moreSpecific(service.calls[j].pattern)
		})
	}
	return index
}

// add takes the entry of a service or of a call path. Entries above them count by
// inheritance. Paths that cannot be read do not come here: Decode and Apply refuse them.
func (x *Index) add(text string) {
	path, err := ParsePath(text)
	if err != nil || path.Service == "" {
		return
	}
	servicePath := path.Team + "/" + path.Family + "/" + path.Service
	service, exists := x.services[path.Service]
	if !exists {
		settings := x.inherited(Path{Team: path.Team, Family: path.Family, Service: path.Service}, servicePath)
		service = &serviceEntry{effective: effective(servicePath, path.Service, settings), repeatable: settings.Repeatable}
		x.services[path.Service] = service
	}
	if path.Call == nil {
		return
	}
	settings := x.inherited(path, servicePath)
	service.calls = append(service.calls, callEntry{
		pattern:    *path.Call,
		effective:  effective(text, path.Service, settings),
		repeatable: settings.Repeatable,
	})
}

// inherited merges the entries from the most specific to the root.
func (x *Index) inherited(path Path, servicePath string) Settings {
	chain := []string{}
	if path.Call != nil {
		chain = append(chain, servicePath+" "+path.Call.String())
	}
	if path.Service != "" {
		chain = append(chain, servicePath)
	}
	if path.Family != "" {
		chain = append(chain, path.Team+"/"+path.Family)
	}
	chain = append(chain, path.Team, RootPath)
	merged := Settings{}
	for _, text := range chain {
		above, exists := x.entries[text]
		if !exists {
			continue
		}
		for _, f := range fields {
			f.inherit(&merged, &above)
		}
	}
	return merged
}

// Routes returns the route table.
func (x *Index) Routes() *RouteTable { return x.routes }

// Tenants returns the tenants and their keys.
func (x *Index) Tenants() *TenantTable { return x.tenants }

// Limits returns the bounds of what callers may send.
func (x *Index) Limits() Limits { return x.limits }

// Revision returns the revision of the Document.
func (x *Index) Revision() uint64 { return x.revision }

// Resolve returns the settings of a call to service. For a service without an
// entry it returns the root's settings with Known false.
func (x *Index) Resolve(service, method, path string) Effective {
	entry, exists := x.services[service]
	if !exists {
		settings := x.inherited(Path{}, "")
		unknown := effective(RootPath, service, settings)
		unknown.Known = false
		unknown.Repeatable = repeatable(settings.Repeatable, method)
		return unknown
	}
	for i := range entry.calls {
		call := &entry.calls[i]
		if call.pattern.Matches(method, path) {
			resolved := call.effective
			resolved.Repeatable = repeatable(call.repeatable, method)
			return resolved
		}
	}
	resolved := entry.effective
	resolved.Repeatable = repeatable(entry.repeatable, method)
	return resolved
}

// Entry returns the settings of the entry at path, after inheritance. For call
// paths with any method, Repeatable is shown as for a POST.
func (x *Index) Entry(text string) Effective {
	path, err := ParsePath(text)
	if err != nil {
		return Effective{}
	}
	settings := x.inherited(path, path.Team+"/"+path.Family+"/"+path.Service)
	resolved := effective(text, path.Service, settings)
	if path.Call != nil {
		resolved.Repeatable = repeatable(settings.Repeatable, path.Call.Method)
	}
	return resolved
}
