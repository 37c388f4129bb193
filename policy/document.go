// Package policy defines the settings that operators make for the mesh. They form a
// tree: teams contain service families, families contain services, services contain
// call paths. Each entry inherits the settings of its parent and overrides some of them.
//
// The tree, the routes and the tenants are stored as one Document with a revision. The
// package owns the format of the document, its validation and its defaults. It does no
// I/O: package policy/editor writes documents to the store, plug-in configsync
// distributes them.
//
// Document.Apply edits a document and returns a validated copy. Index.Resolve returns the
// Effective settings of a call.
package policy

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
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

// Settings holds the values that one entry of the tree sets. A nil field is
// inherited.
type Settings struct {
	// Class is the importance of user requests that enter the mesh with a call
	// that this entry matches. Default "default".
	Class *Class `json:"class,omitempty"`
	// Repeatable reports that a request may be executed more than once. If no entry
	// sets it, safe methods (GET, HEAD, OPTIONS) are repeatable, others are not.
	Repeatable *bool `json:"repeatable,omitempty"`
	// RetryBudget is the number of retries that one user request may cause in
	// the whole call graph, 0 to 32. Default 3.
	RetryBudget *int `json:"retry_budget,omitempty"`
	// RetryRatio is the maximum ratio of retries to calls of one service, 0 to 1.
	// Default 0.1.
	RetryRatio *float64 `json:"retry_ratio,omitempty"`
	// Deadline is the time limit of a user request, 1ms to 10m. Default 10s.
	Deadline *Duration `json:"deadline,omitempty"`
	// ConcurrencyMin is the lower bound of the adaptive limit of calls in flight
	// to one back end, 1 to 10000. Default 2.
	ConcurrencyMin *int `json:"concurrency_min,omitempty"`
	// ConcurrencyMax is the upper bound of that limit, 1 to 10000. Default 200.
	ConcurrencyMax *int `json:"concurrency_max,omitempty"`
	// QueueTime is how long a request may wait in a back end's queue before it is
	// refused, 0s to 10s. Default 50ms.
	QueueTime *Duration `json:"queue_time,omitempty"`
}

// Edit is the record of one accepted edit.
type Edit struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Author   string    `json:"author,omitempty"`
	Time     time.Time `json:"time"`
	Changes  []Change  `json:"changes"`
}

// HistoryLimit is the maximum number of edits in Document.History. The editor searches
// them for an edit's id when the store's reply to its write was lost.
const HistoryLimit = 128

// Document is the policy document in the store.
type Document struct {
	Revision uint64 `json:"revision"`
	// Entries holds the entries of the tree by path. See ParsePath.
	Entries map[string]Settings `json:"entries"`
	// History lists the latest edits, oldest first.
	History []Edit `json:"history,omitempty"`
	// Routes map requests to services. If empty, the settings of the process and
	// the Host header determine the service of a request.
	Routes []Route `json:"routes,omitempty"`
	// Limits bounds the requests and connections of callers.
	Limits Limits `json:"limits,omitzero"`
	// Tenants lists the customers whose API keys callers present.
	Tenants []Tenant `json:"tenants,omitempty"`
	// KeysRequired reports that callers must present the key of a tenant on all
	// routes that are not public.
	KeysRequired bool `json:"keys_required,omitempty"`
}

// Decode parses and checks a Document. Errors have code result.PolicyInvalid.
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

// Encode encodes the Document as JSON.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encoding the policy document")
	}
	return data, nil
}

// FindEdit returns the edit with the given id from the history.
func (d *Document) FindEdit(id string) (Edit, bool) {
	for _, edit := range d.History {
		if edit.ID == id {
			return edit, true
		}
	}
	return Edit{}, false
}

// Paths returns the paths of all entries in lexical order.
func (d *Document) Paths() []string {
	paths := make([]string, 0, len(d.Entries))
	for path := range d.Entries {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}

// clone copies d deeply enough for Apply to change the copy.
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
