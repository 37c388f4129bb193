// Package policy is the operators' settings tree: teams contain service
// families, families contain services, services contain call paths. Each entry
// inherits from the one above it and overrides only what differs.
//
// The package owns the form of the Document that lies in the store, its checks and
// defaults, and the rules of inheritance, of routes and of tenants. It does no I/O:
// package policy/editor writes documents, plug-in configsync spreads them.
//
// The tree is one Document with a revision. Editing is Document.Apply, which returns a
// checked copy; reading is Index.Resolve, which gives the Effective settings of one call.
package policy

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Duration is a time.Duration that is written as text such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Settings are the values that one entry of the tree sets. A nil field is
// inherited.
type Settings struct {
	// Class is the importance of user requests that enter the mesh through
	// this entry. Default "default".
	Class *Class `json:"class,omitempty"`
	// Repeatable says that running a request again does no harm. When no entry
	// sets it, safe methods (GET, HEAD, OPTIONS) are repeatable, others are not.
	Repeatable *bool `json:"repeatable,omitempty"`
	// RetryBudget is the number of retries that one user request may cause in
	// the whole call graph, 0 to 32. Default 3.
	RetryBudget *int `json:"retry_budget,omitempty"`
	// RetryRatio bounds the retries to one service as a share of its calls,
	// 0 to 1. Default 0.1.
	RetryRatio *float64 `json:"retry_ratio,omitempty"`
	// Deadline is the time that a user request has, 1ms to 10m. Default 10s.
	Deadline *Duration `json:"deadline,omitempty"`
	// ConcurrencyMin is the lowest limit of calls in flight to one back end
	// that the adaptive limit may reach, 1 to 10000. Default 2.
	ConcurrencyMin *int `json:"concurrency_min,omitempty"`
	// ConcurrencyMax is the highest such limit, 1 to 10000. Default 200.
	ConcurrencyMax *int `json:"concurrency_max,omitempty"`
	// QueueTime is how long a request may wait beside a back end before it is
	// refused, 0s to 10s. Default 50ms.
	QueueTime *Duration `json:"queue_time,omitempty"`
}

// Edit records one accepted change of the tree.
type Edit struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Author   string    `json:"author,omitempty"`
	Time     time.Time `json:"time"`
	Changes  []Change  `json:"changes"`
}

// HistoryLimit is the number of edits that a Document remembers. An edit id is
// looked up in this list when the store's answer to its write was lost.
const HistoryLimit = 128

// Document is the whole tree as it is kept in the store.
type Document struct {
	Revision uint64              `json:"revision"`
	Entries  map[string]Settings `json:"entries"` // by path, see ParsePath
	History  []Edit              `json:"history,omitempty"`
	// Routes map requests to services. Empty: the settings of the process and
	// the Host header say which service a request is for.
	Routes []Route `json:"routes,omitempty"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits,omitzero"`
	// Tenants are the customers that callers speak for.
	Tenants []Tenant `json:"tenants,omitempty"`
	// KeysRequired says that callers must present the key of a tenant on all routes
	// that are not public.
	KeysRequired bool `json:"keys_required,omitempty"`
}

// Decode reads a Document and checks it.
func Decode(data []byte) (*Document, error) {
	document := &Document{}
	if err := json.Unmarshal(data, document); err != nil {
		return nil, result.Wrap(result.PolicyInvalid, err, "the policy document is not valid JSON")
	}
	if err := document.Check(); err != nil {
		return nil, err
	}
	return document, nil
}

// Encode writes the Document as JSON.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encoding the policy document")
	}
	return data, nil
}

// FindEdit returns the recorded edit with the given id.
func (d *Document) FindEdit(id string) (Edit, bool) {
	for _, edit := range d.History {
		if edit.ID == id {
			return edit, true
		}
	}
	return Edit{}, false
}

// Paths returns the paths of all entries in order.
func (d *Document) Paths() []string {
	paths := make([]string, 0, len(d.Entries))
	for path := range d.Entries {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}

// clone copies d deeply enough that Apply may change the copy.
func (d *Document) clone() *Document {
	copied := &Document{Revision: d.Revision, Entries: make(map[string]Settings, len(d.Entries))}
	for path, settings := range d.Entries {
		copied.Entries[path] = settings
	}
	copied.History = append(copied.History, d.History...)
	copied.Routes = append(copied.Routes, d.Routes...)
	copied.Limits = d.Limits
	copied.Tenants = append(copied.Tenants, d.Tenants...)
	copied.KeysRequired = d.KeysRequired
	return copied
}
