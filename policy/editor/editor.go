// Package editor edits the policy document in the platform's store. It tolerates
// concurrent edits and lost replies of the store.
//
// Edits are written by compare-and-swap. Each has an id that is written with it. When
// the reply to a write is lost, the editor reads the document again and searches its
// history for the id. It can then report whether the edit took effect, and never
// applies an edit twice.
//
// The package owns the key of the document in the store. It keeps no state between
// edits.
package editor

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store"
)

// Key is the key of the policy document in the store.
const Key = "loomcleat/policy"

// Editor edits the policy document in a store on behalf of one author.
type Editor struct {
	store  store.Store
	author string
	now    func() time.Time
}

// New returns an Editor that records author with each edit.
func New(store store.Store, author string) *Editor {
	return &Editor{store: store, author: author, now: time.Now}
}

// Read returns the document in the store and the store's index of it. If there is none,
// it returns an empty document at revision 0 and index 0.
func Read(ctx context.Context, store store.Store) (*policy.Document, uint64, error) {
	entry, err := store.Get(ctx, Key)
	if err != nil {
		return nil, 0, err
	}
	if !entry.Exists {
		return &policy.Document{Entries: map[string]policy.Settings{}}, 0, nil
	}
	document, err := policy.Decode(entry.Value)
	return document, entry.Index, err
}

// Bounds of the attempts to write an edit. They are so many that usually the context's
// deadline ends an edit first.
const (
	maximumAttempts = 50
	// The wait before attempt n, counted from 0, is random: up to firstBackoff<<n, but
	// at most maximumBackoff.
	firstBackoff   = 5 * time.Millisecond
	maximumBackoff = 500 * time.Millisecond
)

// Apply writes the changes as one edit and returns the document that contains it.
// The error has code
//
//	PolicyInvalid, NotFound  the edit is invalid; nothing was written
//	StoreUnavailable         the store did not reply; nothing was written
//	EditConflict             another edit was written first at each attempt; nothing was written
//	EditOutcomeUnknown       the store did not confirm whether the edit was written
func (e *Editor) Apply(ctx context.Context, changes []policy.Change) (*policy.Document, error) {
	id := uuid.NewString()
	uncertain := false // an earlier write of this edit may still take effect
	for attempt := range maximumAttempts {
		if attempt > 0 && !pause(ctx, attempt) {
			break
		}
		document, done, err := e.try(ctx, id, changes, &uncertain)
		if done {
			return document, err
		}
	}
	if uncertain {
		return nil, result.New(result.EditOutcomeUnknown, "the store did not say whether edit %s took effect; see the history", id)
	}
	return nil, result.New(result.EditConflict, "edit %s was not written: other edits kept coming first", id)
}

// try makes one attempt and reports whether the outcome is final.
func (e *Editor) try(ctx context.Context, id string, changes []policy.Change, uncertain *bool) (*policy.Document, bool, error) {
	current, index, err := Read(ctx, e.store)
	if err != nil {
		return nil, !*uncertain, err
	}
	if _, found := current.FindEdit(id); found {
		return current, true, nil
	}
	next, err := current.Apply(id, e.author, e.now(), changes)
	if err != nil {
		return nil, !*uncertain, err
	}
	data, err := next.Encode()
	if err != nil {
		return nil, true, err
	}
	wrote, err := e.store.CompareAndSwap(ctx, Key, data, index)
	if wrote {
		return next, true, nil
	}
	var typed *result.Error
	if errors.As(err, &typed) && typed.Code == result.EditOutcomeUnknown {
		*uncertain = true
	}
	final := err != nil && !*uncertain
	return nil, final, err
}

// pause waits for a random backoff. It reports false if ctx ended first.
func pause(ctx context.Context, attempt int) bool {
	limit := min(firstBackoff<<min(attempt, 10), maximumBackoff)
	timer := time.NewTimer(rand.N(limit) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
