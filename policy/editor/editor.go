// Package editor changes the policy tree in the platform's store, so that
// operators may race each other and the store may lose its answers.
//
// Each edit has an id that is written with it. When the answer to a write is
// lost, the editor reads the tree back and looks for the id, so that the
// operator learns whether the edit is in force and no edit is applied twice.
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

// Key is the key of the policy tree in the store.
const Key = "loomcleat/policy"

// Editor edits the policy tree.
type Editor struct {
	store  store.Store
	author string
	now    func() time.Time
}

// New returns an Editor that records author with each edit.
func New(store store.Store, author string) *Editor {
	return &Editor{store: store, author: author, now: time.Now}
}

// Read returns the tree in the store and its index. A store without a tree
// gives an empty one at revision 0.
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

// Bounds of the attempts to write an edit. With 50 of them, up to half a second apart, the
// time that the command was given ends most edits first. Estimates.
const (
	maximumAttempts = 50
	// firstBackoff is the longest wait before the second attempt; it doubles with each
	// further one, up to maximumBackoff.
	firstBackoff   = 5 * time.Millisecond
	maximumBackoff = 500 * time.Millisecond
)

// Apply writes the changes as one edit and returns the tree that contains it.
// The error has code
//
//	PolicyInvalid, NotFound  the edit is not acceptable; nothing was written
//	StoreUnavailable         the store did not answer; nothing was written
//	EditConflict             others kept writing; nothing was written
//	EditOutcomeUnknown       ctx ended before the store said what happened
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

// pause waits with a random backoff and reports whether ctx is still alive.
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
