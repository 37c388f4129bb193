package policy

import (
	"errors"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Change sets or unsets one key of one entry.
type Change struct {
	Path string `json:"path"`
	// Key is a name from FieldNames. Empty with Unset, it removes the entry.
	Key string `json:"key"`
	// Value is the new value as text, such as "250ms".
	Value string `json:"value,omitempty"`
	Unset bool   `json:"unset,omitempty"`
}

// Apply returns a copy of d with the changes applied, the revision raised by one
// and the edit added to the history. d is not changed. The error has code
// result.NotFound if an entry to unset does not exist, and result.PolicyInvalid
// if a change or the resulting document is invalid.
func (d *Document) Apply(id, author string, now time.Time, changes []Change) (*Document, error) {
	if len(changes) == 0 {
		return nil, result.New(result.PolicyInvalid, "an edit needs at least one change")
	}
	next := d.clone()
	for _, change := range changes {
		if err := next.change(change); err != nil {
			return nil, err
		}
	}
	next.Revision++
	edit := Edit{ID: id, Revision: next.Revision, Author: author, Time: now.UTC(), Changes: changes}
	next.History = append(next.History, edit)
	if excess := len(next.History) - HistoryLimit; excess > 0 {
		next.History = next.History[excess:]
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	return next, nil
}

func (d *Document) change(change Change) error {
	if _, err := ParsePath(change.Path); err != nil {
		return err
	}
	settings, exists := d.Entries[change.Path]
	if change.Unset {
		return d.unset(change, settings, exists)
	}
	f, err := findField(change.Key)
	if err != nil {
		return withPath(change.Path, err)
	}
	if err := f.parse(&settings, change.Value); err != nil || !f.valid(&settings) {
		return result.New(result.PolicyInvalid, "%s: %s=%q is not allowed; allowed: %s", change.Path, change.Key, change.Value, f.allowed)
	}
	d.Entries[change.Path] = settings
	return nil
}

func (d *Document) unset(change Change, settings Settings, exists bool) error {
	if !exists {
		return result.New(result.NotFound, "%s: there is no such entry", change.Path)
	}
	if change.Key == "" {
		delete(d.Entries, change.Path)
		return nil
	}
	f, err := findField(change.Key)
	if err != nil {
		return withPath(change.Path, err)
	}
	f.unset(&settings)
	if settings == (Settings{}) {
		delete(d.Entries, change.Path)
		return nil
	}
	d.Entries[change.Path] = settings
	return nil
}

func withPath(path string, err error) error {
	var typed *result.Error
	if errors.As(err, &typed) {
		return result.New(typed.Code, "%s: %s", path, typed.Message)
	}
	return result.Wrap(result.PolicyInvalid, err, "%s", path)
}

// Check validates all entries, routes and tenants and verifies that service names are
// unique. Errors have code result.PolicyInvalid.
func (d *Document) Check() error {
	owners := make(map[string]string)
	for _, text := range d.Paths() {
		path, err := ParsePath(text)
		if err != nil {
			return err
		}
		settings := d.Entries[text]
		for _, f := range fields {
			if !f.valid(&settings) {
				shown, _ := f.show(&settings)
				return result.New(result.PolicyInvalid, "%s: %s=%q is not allowed; allowed: %s", text, f.name, shown, f.allowed)
			}
		}
		if path.Service == "" {
			continue
		}
		owner := path.Team + "/" + path.Family
		if other, taken := owners[path.Service]; taken && other != owner {
			return result.New(result.PolicyInvalid, "%s: the service name %q is already used under %s; allowed: a name that is unique in the tree", text, path.Service, other)
		}
		owners[path.Service] = owner
	}
	for i := range d.Routes {
		if err := d.Routes[i].check(); err != nil {
			return err
		}
	}
	if err := checkTenants(d.Tenants); err != nil {
		return err
	}
	return d.checkConcurrency()
}

// checkConcurrency verifies that no entry resolves to a ConcurrencyMin above its
// ConcurrencyMax.
func (d *Document) checkConcurrency() error {
	index := NewIndex(d)
	for _, text := range d.Paths() {
		effective := index.Entry(text)
		if effective.ConcurrencyMin > effective.ConcurrencyMax {
			return result.New(result.PolicyInvalid, "%s: concurrency_min=%d is above concurrency_max=%d; allowed: a minimum up to the maximum",
				text, effective.ConcurrencyMin, effective.ConcurrencyMax)
		}
	}
	return nil
}
