package once

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// voteName is how a vote of another replica is announced in the record of the member that
// has it, among its Places: group, epoch and the replica.
func voteName(vote claims.Vote) string {
	return strings.Join([]string{strconv.Itoa(vote.Group), strconv.FormatUint(vote.Epoch, 10), vote.Replica}, "/")
}

// cutVoteName returns the group and the replica of a vote's name.
func cutVoteName(name string) (group, replica string, found bool) {
	parts := strings.SplitN(name, "/", 3)
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[2], true
}

// announceVotes tells the mesh which votes of others this process has. It runs on the
// control loop.
func (o *once) announceVotes() {
	names := []string{}
	for _, vote := range o.replica.TakenVotes() {
		names = append(names, voteName(vote))
	}
	o.process.Mesh.SetVotes(names)
}

// holder returns the process that has the vote of a replica: the replica itself, unless
// a member announces that it has taken the vote.
func (o *once) holder(replica claims.Process, group int, epoch uint64) claims.Process {
	name := voteName(claims.Vote{Group: group, Epoch: epoch, Replica: replica.ID})
	for _, member := range *o.process.Members.Load() {
		if member.Status != membership.Dead && slices.Contains(member.Votes, name) {
			return claims.Process{ID: member.ID, Control: member.Control}
		}
	}
	return replica
}

// replacementPatience is how long a stopping process waits to be replaced in its groups by
// a new epoch before it transfers its votes itself.
const replacementPatience = 2 * time.Second

// handOverVotes transfers each vote of this process to another one. A vote whose transfer
// fails is lost until the next epoch.
func (o *once) handOverVotes(ctx context.Context) {
	votes, err := kernel.Ask(ctx, o.process.Loop, func(time.Time) []claims.Vote { return o.replica.HeldVotes() })
	document := o.groups.Load()
	if err != nil || document == nil || len(votes) == 0 {
		return // there is nothing to hand over, or no time left to stop
	}
	data, err := document.Encode()
	if err != nil {
		return // never: the document was decoded from JSON
	}
	for _, vote := range votes {
		o.handOverVote(ctx, vote, o.successors(document, vote), data)
	}
}

// successors lists who may take a vote: live processes that have no vote in the group,
// those of the own zone first.
func (o *once) successors(document *claims.Groups, vote claims.Vote) []claims.Process {
	if vote.Group >= len(document.Groups) {
		return nil
	}
	taken := map[string]bool{o.self.ID: true}
	for _, replica := range document.Groups[vote.Group].Replicas {
		taken[replica.ID] = true
		taken[o.holder(replica, vote.Group, vote.Epoch).ID] = true
	}
	candidates := []membership.Member{}
	for _, member := range *o.process.Members.Load() {
		if member.Status == membership.Alive && !member.Leaving && !taken[member.ID] {
			candidates = append(candidates, member)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		nearI, nearJ := candidates[i].Zone == o.process.Settings.Zone, candidates[j].Zone == o.process.Settings.Zone
		if nearI != nearJ {
			return nearI
		}
		return claims.Rank(vote.Group, candidates[i].ID) > claims.Rank(vote.Group, candidates[j].ID)
	})
	list := make([]claims.Process, 0, len(candidates))
	for _, member := range candidates {
		list = append(list, claims.Process{ID: member.ID, Control: member.Control})
	}
	return list
}

// handOverVote transfers a vote to the first successor that takes it. One that refuses has
// not taken it, so that the next may be asked. When an answer is lost, it is not known
// whether the vote was taken, and nobody else is asked.
func (o *once) handOverVote(ctx context.Context, vote claims.Vote, successors []claims.Process, document []byte) {
	request, err := kernel.Ask(ctx, o.process.Loop, func(now time.Time) *wire.VoteTransfer {
		handed, ok := o.replica.GiveVote(now, vote)
		if !ok {
			return nil
		}
		return &wire.VoteTransfer{Vote: vote, Claims: handed, Document: document}
	})
	if err != nil || request == nil {
		return // no time is left to stop, or a new epoch has replaced this process
	}
	for _, successor := range successors {
		var reply wire.VoteTransferReply
		asking, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := o.process.Control.Invoke(asking, successor.Control, http.MethodPost, wire.PathVote, request, &reply)
		cancel()
		if err != nil || reply.OK {
			return // taken, or not known: asking another one could give the vote twice
		}
	}
}

// serveVote takes a vote.
func (o *once) serveVote(w http.ResponseWriter, r *http.Request) {
	var request wire.VoteTransfer
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	if err := o.process.Documents.Offer(r.Context(), wire.DocumentGroups, request.Document); err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	reply, err := kernel.Ask(r.Context(), o.process.Loop, func(now time.Time) wire.VoteTransferReply {
		taken := o.replica.TakeVote(now, request.Vote, request.Claims)
		o.announceVotes()
		return wire.VoteTransferReply{OK: taken}
	})
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	if reply.OK {
		o.process.Log.Emit(event.ClaimGroupSynced, "group", request.Vote.Group, "epoch", request.Vote.Epoch, "in_place_of", request.Vote.Replica)
	}
	kernel.WriteJSON(w, reply)
}
