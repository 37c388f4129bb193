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

// voteName returns the name under which a member announces, in its Votes, a vote that it has
// taken over: group, epoch and id of the original replica, separated by slashes.
func voteName(vote claims.Vote) string {
	return strings.Join([]string{strconv.Itoa(vote.Group), strconv.FormatUint(vote.Epoch, 10), vote.Replica}, "/")
}

// parseVoteName returns the group and the replica of a name made by voteName.
func parseVoteName(name string) (group, replica string, found bool) {
	parts := strings.SplitN(name, "/", 3)
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[2], true
}

// announceVotes announces to the mesh the votes that this process has taken over. It runs on
// the control loop.
func (o *once) announceVotes() {
	names := []string{}
	for _, vote := range o.replica.TakenVotes() {
		names = append(names, voteName(vote))
	}
	o.process.Mesh.SetVotes(names)
}

// voteHolder returns the process that holds the vote of a replica: the replica itself, unless
// a member announces that it has taken the vote over.
func (o *once) voteHolder(replica claims.Process, group int, epoch uint64) claims.Process {
	name := voteName(claims.Vote{Group: group, Epoch: epoch, Replica: replica.ID})
	for _, member := range *o.process.Members.Load() {
		if member.Status != membership.Dead && slices.Contains(member.Votes, name) {
			return claims.Process{ID: member.ID, Control: member.Control}
		}
	}
	return replica
}

// replacementTimeout is how long a stopping process waits for a new epoch to replace it in
// its groups before it transfers its votes itself.
const replacementTimeout = 2 * time.Second

// handOverVotes transfers each vote of this process to another process. A vote whose
// transfer fails is missing until the next epoch.
func (o *once) handOverVotes(ctx context.Context) {
	votes, err := kernel.Query(ctx, o.process.Loop, func(time.Time) []claims.Vote { return o.replica.HeldVotes() })
	document := o.groups.Load()
	if err != nil || document == nil || len(votes) == 0 {
		return // There is nothing to transfer, or the time to stop is over.
	}
	data, err := document.Encode()
	if err != nil {
		return // Unreachable: the document was decoded from JSON.
	}
	for _, vote := range votes {
		o.handOverVote(ctx, vote, o.successors(document, vote), data)
	}
}

// successors returns the processes that may take over a vote: live processes without a vote
// in the group, those in the zone of this process first.
func (o *once) successors(document *claims.Groups, vote claims.Vote) []claims.Process {
	if vote.Group >= len(document.Groups) {
		return nil
	}
	excluded := map[string]bool{o.self.ID: true}
	for _, replica := range document.Groups[vote.Group].Replicas {
		excluded[replica.ID] = true
		excluded[o.voteHolder(replica, vote.Group, vote.Epoch).ID] = true
	}
	candidates := []membership.Member{}
	for _, member := range *o.process.Members.Load() {
		if member.Status == membership.Alive && !member.Leaving && !excluded[member.ID] {
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

// handOverVote transfers a vote to the first successor that accepts it. After a refusal the
// next successor is asked. After an error it stops: the vote may have been accepted, and two
// processes must not hold the same vote.
func (o *once) handOverVote(ctx context.Context, vote claims.Vote, successors []claims.Process, document []byte) {
	request, err := kernel.Query(ctx, o.process.Loop, func(now time.Time) *wire.VoteTransfer {
		handed, ok := o.replica.ReleaseVote(now, vote)
		if !ok {
			return nil
		}
		return &wire.VoteTransfer{Vote: vote, Claims: handed, Document: document}
	})
	if err != nil || request == nil {
		return // The time to stop is over, or a new epoch has replaced this process.
	}
	for _, successor := range successors {
		var reply wire.VoteTransferReply
		transfer, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := o.process.Control.Invoke(transfer, successor.Control, http.MethodPost, wire.PathVote, request, &reply)
		cancel()
		if err != nil || reply.OK {
			return // Accepted or unknown: another transfer could duplicate the vote.
		}
	}
}

// serveVote takes over a vote that a stopping replica transfers.
func (o *once) serveVote(w http.ResponseWriter, r *http.Request) {
	var request wire.VoteTransfer
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	if err := o.process.Documents.Offer(r.Context(), wire.DocumentGroups, request.Document); err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	reply, err := kernel.Query(r.Context(), o.process.Loop, func(now time.Time) wire.VoteTransferReply {
		taken := o.replica.AcceptVote(now, request.Vote, request.Claims)
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
