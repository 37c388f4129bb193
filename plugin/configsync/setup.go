// Package configsync keeps the policy tree and, with claims, the claim groups of a process
// up to date: from the store when this process is one of the few that watch it, and
// otherwise from peers. It also keeps the proof of how new the policy is, by which keys are
// trusted.
//
// It owns the documents that are in force in this process and the process's readiness as far
// as it depends on them. The rules are those of package spread; it relies on the store, on
// the list of members, and on gossip and quota reports to carry revisions between peers.
package configsync

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
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
