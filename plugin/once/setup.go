// Package once makes sure that a request that may not be repeated runs at most once. Before
// a node passes such a request to its back end, a majority of the replicas of the claim
// group of its key must have granted a claim; package claims holds the rules. The plug-in is
// inactive unless the setting claims is true.
//
// It owns this process's replica of the claims, on the control loop, and the table of this
// process's runs. It relies on the store for the groups document, on plug-in configsync to
// distribute that document, and on plug-in identity for the keys.
package once

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/wire"
)

const name = "once"

func init() { kernel.Register(name, kernel.StageTraffic, setup) }

func setup(process *kernel.Process) error {
	if !process.Settings.Claims {
		return nil
	}
	o := &once{
		process: process,
		self:    claims.Process{ID: process.ID, Control: process.ControlAddress()},
		runs:    newRuns(process.Settings.ClaimRetention.Std()),
		wake:    make(chan struct{}, 1),
	}
	o.replica = claims.NewReplica(claims.ReplicaConfig{
		Self:          o.self,
		Retention:     process.Settings.ClaimRetention.Std(),
		MaximumClaims: process.Settings.MaximumClaims,
	})
	process.Documents.Subscribe(wire.DocumentGroups, o.adopt)
	process.HandleControl("POST "+wire.PathClaim, o.serveClaim)
	process.HandleControl("POST "+wire.PathWithdraw, o.serveUpdate(wire.PathWithdraw))
	process.HandleControl("POST "+wire.PathFinish, o.serveUpdate(wire.PathFinish))
	process.HandleControl("POST "+wire.PathHandOver, o.serveHandOver)
	process.HandleControl("POST "+wire.PathOutcome, o.serveOutcome)
	process.HandleControl("POST "+wire.PathVote, o.serveVote)
	process.HandleControl("GET "+wire.PathClaimStatus, o.serveClaimStatus)
	process.Loop.Every(housekeepingInterval, o.housekeeping)
	process.OnStart(o.collectClaims)
	process.OnStatus(func(status *wire.Status) { status.Claims = int(o.held.Load()) })
	if process.Store != nil {
		process.OnStart(o.planGroups)
		process.OnDrain(o.leaveGroups)
	}
	process.OnReadContext(readKey)
	process.OnWriteContext(writeKey)
	if process.IsNode() {
		process.UseInbound(name, o.middleware)
	}
	process.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "loomcleat_claims", Help: "Claims that this process holds as a replica.",
	}, func() float64 { return float64(o.held.Load()) }))
	return nil
}

// housekeepingInterval is the time between two removals of expired claims and runs.
const housekeepingInterval = 500 * time.Millisecond

// adopt puts a new groups document in force. It runs on the control loop.
func (o *once) adopt(now time.Time, data []byte) {
	document, err := claims.DecodeGroups(data)
	if err != nil {
		return // Unreachable: documents are checked before they are adopted.
	}
	if o.replica.Adopt(now, document) {
		o.groups.Store(document)
		o.process.Log.Emit(event.ClaimGroupAdopted, "revision", document.Revision, "groups", len(document.Groups))
		o.wakeCollector()
		o.announceVotes()
	}
}

// housekeeping removes expired claims and runs. It runs on the control loop.
func (o *once) housekeeping(now time.Time) {
	o.replica.Expire(now)
	o.replica.ExpireRetired(now)
	o.held.Store(int64(o.replica.Len()))
	o.runs.expire(now)
}
