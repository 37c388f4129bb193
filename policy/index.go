package policy

import "sort"

// Index resolves settings from one Document without parsing its paths for each call.
// It is immutable and safe for concurrent use.
type Index struct {
	revision uint64
	entries  map[string]Settings
	services map[string]*serviceEntry
	routes   *RouteTable
	limits   Limits
	tenants  *TenantTable
}

// serviceEntry holds the resolved settings of one service.
type serviceEntry struct {
	effective Effective
	// The value set in the tree. Nil: it depends on the method.
	repeatable *bool
	// Call paths of the service, more specific ones first.
	calls []callEntry
}

// callEntry holds the resolved settings of one call path of a service.
type callEntry struct {
	pattern    Pattern
	effective  Effective
	repeatable *bool // The value set in the tree, as in serviceEntry.
}

// NewIndex returns the Index of a document, which must not be changed afterwards. A nil
// document is an empty tree.
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

// add indexes the entry of a service or of a call path. Other entries are used through
// inheritance only. Invalid paths are skipped; Decode and Apply reject them earlier.
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

// inherited returns the settings at path: those of its entry, completed by those of its
// ancestors up to the root.
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

// Tenants returns the tenant table.
func (x *Index) Tenants() *TenantTable { return x.tenants }

// Limits returns the limits for callers.
func (x *Index) Limits() Limits { return x.limits }

// Revision returns the revision of the Document.
func (x *Index) Revision() uint64 { return x.revision }

// Resolve returns the settings of a call to service: those of the most specific call
// path that matches, or else of the service. For a service without an entry, it returns
// the root's settings with Known false.
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

// Entry returns the settings of the entry at a path after inheritance, or the zero
// Effective if the path is invalid. If Repeatable is not set, it is true only for a call
// path with a safe method.
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
