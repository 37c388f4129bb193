// Package configsync keeps the policy tree and the claim groups of a process up
// to date: from the store, when this process is one of the few that watch it,
// and otherwise from peers. The rules are those of package spread.
package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/spread"
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
	process.HandleControl("GET "+wire.PathRevisions, s.serveRevisions)
	process.AddReadiness(s.confirmed.Load)
	s.Subscribe(wire.DocumentPolicy, s.adoptPolicy)
	if process.Store == nil {
		s.confirmed.Store(true)
	} else {
		for _, d := range s.documents {
			process.OnStart(func(ctx context.Context) { s.watch(ctx, d) })
		}
		if process.Settings.KeyRevocation > 0 {
			process.OnStart(s.seekProof)
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

	mutex     sync.Mutex       // guards what follows
	freshness spread.Freshness // of the policy
	proof     spread.Proof     // of the policy
}

// Revisions implements kernel.Documents.
func (s *synchronizer) Revisions() wire.Revisions {
	revisions := wire.Revisions{Confirmed: s.confirmed.Load()}
	if age, known := s.age(); known {
		revisions.Age = max(age.Milliseconds(), 1)
	}
	if age, known := s.PolicyProof(clock.Now().Time()); known {
		revisions.ProvenAge = age.Milliseconds() + 1 // rounded up, so that it stays a bound
	}
	// After the proof: one of a newer policy would be taken for one of this policy.
	revisions.Policy = s.documents[wire.DocumentPolicy].revision.Load()
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
