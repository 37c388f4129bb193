package once

import (
	"context"
	"net/http"
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

// placeName is how a place is announced in the record of the member that holds
// it: group, epoch and the replica that it belonged to.
func placeName(seat claims.Seat) string {
	return strings.Join([]string{strconv.Itoa(seat.Group), strconv.FormatUint(seat.Epoch, 10), seat.Of}, "/")
}

// cutPlace returns the group and the replica of a place name.
func cutPlace(name string) (group, of string, found bool) {
	parts := strings.SplitN(name, "/", 3)
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[2], true
}

// announceSeats tells the mesh which places of others this process holds. It
// runs on the control loop.
func (o *once) announceSeats() {
	places := []string{}
	for _, seat := range o.replica.Seats() {
		places = append(places, placeName(seat))
	}
	o.process.Mesh.SetPlaces(places)
}

// holder returns the process that holds the place of a replica: the replica
// itself, unless a member announces that it has taken the place over.
func (o *once) holder(replica claims.Process, group int, epoch uint64) claims.Process {
	name := placeName(claims.Seat{Group: group, Epoch: epoch, Of: replica.ID})
	for _, member := range *o.process.Members.Load() {
		if member.Status == membership.Dead {
			continue
		}
		for _, place := range member.Places {
			if place == name {
				return claims.Process{ID: member.ID, Control: member.Control}
			}
		}
	}
	return replica
}

// seatPatience is how long a stopping process waits to be replaced in its
// groups by a new epoch before it hands its places over itself.
const seatPatience = 2 * time.Second

// handOverPlaces gives each place of this process to another one. A place whose
// transfer fails is lost until the next epoch.
func (o *once) handOverPlaces(ctx context.Context) {
	places, err := kernel.Ask(ctx, o.process.Loop, func(time.Time) []claims.Seat { return o.replica.Places() })
	document := o.groups.Load()
	if err != nil || document == nil || len(places) == 0 {
		return // there is nothing to hand over, or no time left to stop
	}
	data, err := document.Encode()
	if err != nil {
		return // never: the document was decoded from JSON
	}
	for _, place := range places {
		o.handOverPlace(ctx, place, o.successors(document, place), data)
	}
}

// successors lists who may take a place over: live processes that have no place
// in the group, those of the own zone first.
func (o *once) successors(document *claims.Groups, place claims.Seat) []claims.Process {
	if place.Group >= len(document.Groups) {
		return nil
	}
	taken := map[string]bool{o.self.ID: true}
	for _, replica := range document.Groups[place.Group].Replicas {
		taken[replica.ID] = true
		taken[o.holder(replica, place.Group, place.Epoch).ID] = true
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
		return claims.Rank(place.Group, candidates[i].ID) > claims.Rank(place.Group, candidates[j].ID)
	})
	list := make([]claims.Process, 0, len(candidates))
	for _, member := range candidates {
		list = append(list, claims.Process{ID: member.ID, Control: member.Control})
	}
	return list
}

// handOverPlace gives a place to the first successor that takes it. One that
// refuses has not taken it, so that the next may be asked. When an answer is
// lost, it is not known whether the place was taken, and nobody else is asked.
func (o *once) handOverPlace(ctx context.Context, place claims.Seat, successors []claims.Process, document []byte) {
	request, err := kernel.Ask(ctx, o.process.Loop, func(now time.Time) *wire.SeatRequest {
		handed, ok := o.replica.GiveSeat(now, place)
		if !ok {
			return nil
		}
		return &wire.SeatRequest{Seat: place, Claims: handed, Document: document}
	})
	if err != nil || request == nil {
		return // no time is left to stop, or a new epoch has replaced this process
	}
	for _, successor := range successors {
		var reply wire.SeatReply
		asking, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := o.process.Control.Invoke(asking, successor.Control, http.MethodPost, wire.PathSeat, request, &reply)
		cancel()
		if err != nil || reply.OK {
			return // taken, or not known: asking another one could give the place twice
		}
	}
}

// serveSeat takes a place over.
func (o *once) serveSeat(w http.ResponseWriter, r *http.Request) {
	var request wire.SeatRequest
	if !kernel.ReadJSON(w, r, &request) {
		return
	}
	if err := o.process.Documents.Offer(r.Context(), wire.DocumentGroups, request.Document); err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	reply, err := kernel.Ask(r.Context(), o.process.Loop, func(now time.Time) wire.SeatReply {
		taken := o.replica.TakeSeat(now, request.Seat, request.Claims)
		o.announceSeats()
		return wire.SeatReply{OK: taken}
	})
	if err != nil {
		result.From(err).WriteHTTP(w)
		return
	}
	if reply.OK {
		o.process.Log.Emit(event.ClaimGroupSynced, "group", request.Seat.Group, "epoch", request.Seat.Epoch, "in_place_of", request.Seat.Of)
	}
	kernel.WriteJSON(w, reply)
}
