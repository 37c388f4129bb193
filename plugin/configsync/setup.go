// Package configsync keeps the policy document and, with the setting claims, the claim groups
// document of a process up to date. A few processes watch the store; all others fetch new
// revisions from peers. The plug-in also maintains the proof of how recent the policy is,
// which decides whether keys may be trusted.
//
// It owns the documents in force in this process, and makes the process ready once the policy
// is confirmed. Package spread holds the rules. The plug-in relies on the store, on the list
// of members, and on gossip and quota reports to carry revisions between peers.
package configsync

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "configsync"

func init() { kernel.Register(name, kernel.StageServices, setup) }

func setup(process *kernel.Process) error {
	s := &synchronizer{
		process:   process,
		documents: map[wire.DocumentName]*document{},
		timing:    spread.TimingFor(process.Settings.PolicyWithin.Std()),
	}
	s.add(wire.DocumentPolicy, editor.Key, policyRevision)
	if process.Settings.Claims {
		s.add(wire.DocumentGroups, claims.StoreKey, groupsRevision)
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
		process.OnStart(s.keepConfirmed)
	}
	process.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "loomcleat_policy_revision", Help: "Revision of the policy tree in force in this process.",
	}, func() float64 { return float64(s.Revisions().Policy) }))
	return nil
}

// add adds a document that is distributed to all processes.
func (s *synchronizer) add(name wire.DocumentName, key string, revisionOf func([]byte) (uint64, error)) {
	s.documents[name] = &document{name: name, key: key, revisionOf: revisionOf, fetches: spread.NewFetches(s.timing)}
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
