package once

import (
	"context"
	"net/http"
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
	if replica.ID == o.self.ID {
		return replica
	}
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
		return
	}
	data, err := document.Encode()
	if err != nil {
		return
	}
	for _, place := range places {
		if successor, found := o.successor(document, place); found {
			o.handOverPlace(ctx, place, successor, data)
		}
	}
}

// successor chooses who takes a place over: a live process that has no place in
// the group, preferably in the own zone.
func (o *once) successor(document *claims.Groups, place claims.Seat) (claims.Process, bool) {
	if place.Group >= len(document.Groups) {
		return claims.Process{}, false
	}
	taken := map[string]bool{o.self.ID: true}
	for _, replica := range document.Groups[place.Group].Replicas {
		taken[replica.ID] = true
		taken[o.holder(replica, place.Group, place.Epoch).ID] = true
	}
	best, bestRank := claims.Process{}, uint64(0)
	for _, member := range *o.process.Members.Load() {
		if member.Status != membership.Alive || member.Leaving || taken[member.ID] {
			continue
		}
		rank := claims.Rank(place.Group, member.ID) >> 1
		if member.Zone == o.process.Settings.Zone {
			rank |= 1 << 63
		}
		if best.ID == "" || rank > bestRank {
			best, bestRank = claims.Process{ID: member.ID, Control: member.Control}, rank
		}
	}
	return best, best.ID != ""
}

func (o *once) handOverPlace(ctx context.Context, place claims.Seat, successor claims.Process, document []byte) {
	request, err := kernel.Ask(ctx, o.process.Loop, func(now time.Time) *wire.SeatRequest {
		handed, ok := o.replica.GiveSeat(now, place)
		if !ok {
			return nil
		}
		return &wire.SeatRequest{Seat: place, Claims: handed, Document: document}
	})
	if err != nil || request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var reply wire.SeatReply
	// Only this successor may be asked: whether it has taken the place is not
	// known when its answer is lost.
	_ = o.process.Control.Invoke(ctx, successor.Control, http.MethodPost, wire.PathSeat, request, &reply)
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
