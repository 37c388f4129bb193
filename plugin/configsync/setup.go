// Package configsync keeps the policy tree and the claim groups of a process up
// to date: from the store, when this process is one of the few that watch it,
// and otherwise from peers. The rules are those of package spread.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/store"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "configsync"

func init() { kernel.Register(name, kernel.StageServices, setup) }

func setup(process *kernel.Process) error {
	s := &synchronizer{process: process, documents: map[wire.DocumentName]*document{
		wire.DocumentPolicy: {name: wire.DocumentPolicy, key: editor.Key, revisionOf: policyRevision},
	}}
	if process.Settings.Claims {
		s.documents[wire.DocumentGroups] = &document{name: wire.DocumentGroups, key: claims.StoreKey, revisionOf: groupsRevision}
	}
	process.Documents = s
	process.HandleControl("GET "+wire.PathDocument+"{name}", s.serveDocument)
	process.AddReadiness(s.confirmed.Load)
	s.Subscribe(wire.DocumentPolicy, s.adoptPolicy)
	if process.Store == nil {
		s.confirmed.Store(true)
	} else {
		for _, d := range s.documents {
			process.OnStart(func(ctx context.Context) { s.watch(ctx, d) })
		}
	}
	process.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "loomcleat_policy_revision", Help: "Revision of the policy tree in force in this process.",
	}, func() float64 { return float64(s.Revisions().Policy) }))
	return nil
}

// policyRevision checks a policy document and returns its revision.
func policyRevision(data []byte) (uint64, error) {
	document, err := policy.Decode(data)
	if err != nil {
		return 0, err
	}
	return document.Revision, nil
}

// groupsRevision checks a claim groups document and returns its revision.
func groupsRevision(data []byte) (uint64, error) {
	document, err := claims.DecodeGroups(data)
	if err != nil {
		return 0, err
	}
	return document.Revision, nil
}

// document is one document that is spread. The keeper is owned by the control
// loop.
type document struct {
	name        wire.DocumentName
	key         string
	revisionOf  func([]byte) (uint64, error)
	keeper      spread.Keeper
	subscribers []func(time.Time, []byte)
	revision    atomic.Uint64 // of the keeper
	pulling     atomic.Bool
}

// synchronizer keeps the documents of one process.
type synchronizer struct {
	process   *kernel.Process
	documents map[wire.DocumentName]*document
	confirmed atomic.Bool // the policy is as new as the store's or a peer's
}

// Revisions implements kernel.Documents.
func (s *synchronizer) Revisions() wire.Revisions {
	revisions := wire.Revisions{
		Policy:    s.documents[wire.DocumentPolicy].revision.Load(),
		Confirmed: s.confirmed.Load(),
	}
	if groups, exists := s.documents[wire.DocumentGroups]; exists {
		revisions.Groups = groups.revision.Load()
	}
	return revisions
}

// Subscribe implements kernel.Documents.
func (s *synchronizer) Subscribe(name wire.DocumentName, adopt func(time.Time, []byte)) {
	d := s.documents[name]
	d.subscribers = append(d.subscribers, adopt)
}

// Offer implements kernel.Documents.
func (s *synchronizer) Offer(ctx context.Context, name wire.DocumentName, data []byte) error {
	return s.offer(ctx, s.documents[name], data, "process")
}

// adoptPolicy puts a policy tree in force. It runs on the control loop.
func (s *synchronizer) adoptPolicy(_ time.Time, data []byte) {
	document, err := policy.Decode(data)
	if err != nil {
		return // offers are checked before they are adopted
	}
	s.process.Policy.Store(policy.NewIndex(document))
}

// offer takes a document if it is newer, and tells peers.
func (s *synchronizer) offer(ctx context.Context, d *document, data []byte, from string) error {
	revision, err := d.revisionOf(data)
	if err != nil {
		s.process.Log.Emit(event.DocumentRejected, "document", string(d.name), "from", from, "error", err)
		return err
	}
	return s.process.Loop.Do(ctx, func(now time.Time) {
		if revision < d.keeper.Revision() {
			s.process.Log.Emit(event.DocumentOlderSeen, "document", string(d.name), "from", from,
				"revision", revision, "in_force", d.keeper.Revision())
		}
		if !d.keeper.Offer(revision, data) {
			return
		}
		for _, adopt := range d.subscribers {
			adopt(now, data)
		}
		d.revision.Store(revision)
		s.process.Mesh.Announce()
		s.process.Log.Emit(event.DocumentAdopted, "document", string(d.name), "revision", revision, "from", from)
	})
}

// Watching of the store.
const (
	watchWait      = 20 * time.Second
	idleWait       = time.Second // of processes that do not watch
	firstBackoff   = 200 * time.Millisecond
	maximumBackoff = 5 * time.Second
)

// watch follows one document in the store while it is this process's turn, and
// until the policy is confirmed at the start.
func (s *synchronizer) watch(ctx context.Context, d *document) {
	position := uint64(0)
	failures := 0
	active := false
	for ctx.Err() == nil {
		wanted := !s.confirmed.Load() || s.watches()
		if wanted != active {
			active = wanted
			s.process.Log.Emit(event.StoreWatchChanged, "document", string(d.name), "watching", active)
		}
		if !active {
			position = 0
			pause(ctx, idleWait)
			continue
		}
		next, err := s.watchOnce(ctx, d, position)
		if err != nil {
			failures++
			s.logStore(ctx, d, failures, err)
			position = 0
			pause(ctx, backoff(failures))
			continue
		}
		if failures > 0 {
			s.process.Log.Emit(event.StoreRecovered, "document", string(d.name))
			failures = 0
		}
		position = next
	}
}

func (s *synchronizer) logStore(ctx context.Context, d *document, failures int, err error) {
	if failures == 1 && ctx.Err() == nil {
		s.process.Log.Emit(event.StoreUnreachable, "code", int(result.StoreUnavailable), "document", string(d.name), "error", err)
	}
}

// watchOnce waits for one change and returns the position after it.
func (s *synchronizer) watchOnce(ctx context.Context, d *document, position uint64) (uint64, error) {
	entry, err := s.read(ctx, d, position)
	if err != nil {
		return 0, err
	}
	if entry.Exists {
		if err := s.offer(ctx, d, entry.Value, "store"); err != nil {
			return 0, err
		}
	}
	if d.name == wire.DocumentPolicy && (entry.Exists || !s.process.Settings.PolicyRequired) {
		s.confirmed.Store(true)
	}
	if entry.Watch < position {
		return 0, nil // the store went back: read it anew
	}
	return max(entry.Watch, 1), nil
}

// read reads the document at once, or waits for its next change.
func (s *synchronizer) read(ctx context.Context, d *document, position uint64) (store.Entry, error) {
	if position == 0 {
		return s.process.Store.Get(ctx, d.key)
	}
	return s.process.Store.Watch(ctx, d.key, position, watchWait)
}

// watches reports whether this process is one of those that watch the store.
func (s *synchronizer) watches() bool {
	return spread.Watches(s.process.ID, kernel.LiveIDs(*s.process.Members.Load()), s.process.Settings.StoreWatches)
}

func backoff(failures int) time.Duration {
	limit := min(firstBackoff<<min(failures, 6), maximumBackoff)
	return limit/2 + rand.N(limit/2)
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
