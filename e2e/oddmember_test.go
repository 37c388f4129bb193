package e2e

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/ratelimit"
	"github.com/loomcleat/loomcleat/wire"
)

// status returns the status of the process, zero for none.
func (n *platformNode) status() (status wire.Status) {
	response, err := http.Get("http://" + n.control + wire.PathStatus)
	if err != nil {
		return status
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

// gossip sends a control message to the process and returns the HTTP status.
func (n *platformNode) gossip(body []byte) int {
	request, _ := http.NewRequest(http.MethodPost, "http://"+n.control+wire.PathGossip, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	return fetchStatus(request)
}

// oddRecords are records of members that no process has written.
func oddRecords(own membership.Member) []membership.Member {
	negative := ratelimit.Rate(-1)
	good := membership.Member{ID: "odd", Control: "127.0.0.1:9", Traffic: "127.0.0.1:9", Service: "deep", Generation: 1, Incarnation: 1}
	change := func(apply func(*membership.Member)) membership.Member {
		changed := good
		apply(&changed)
		return changed
	}
	return []membership.Member{
		change(func(m *membership.Member) { m.ID = "" }),
		change(func(m *membership.Member) { m.Control = "127.0.0.1:65536" }),
		change(func(m *membership.Member) { m.Control = "127.0.0.1:99999999999999999999" }),
		change(func(m *membership.Member) { m.Control = "" }),
		change(func(m *membership.Member) { m.Control = "nowhere" }),
		change(func(m *membership.Member) { m.Traffic = "127.0.0.1:-7" }),
		change(func(m *membership.Member) { m.Traffic = "127.0.0.1:0" }),
		change(func(m *membership.Member) { m.Status = 99 }),
		change(func(m *membership.Member) { m.Status = -1 }),
		change(func(m *membership.Member) { m.Generation = -1 }),
		change(func(m *membership.Member) { m.Incarnation = math.MaxUint64 }),
		change(func(m *membership.Member) { m.RateLimit = &negative }),
		change(func(m *membership.Member) { m.Control, m.Generation = own.Control, math.MaxInt64 }),
		change(func(m *membership.Member) {
			m.ID, m.Control, m.Status, m.Incarnation = own.ID, own.Control, membership.Dead, math.MaxUint64
		}),
	}
}

// TestOddRecordsOfMembersAreIgnored guards against records that no process has written: they must not
// end a process, be taken for members, or keep processes from each other.
func TestOddRecordsOfMembersAreIgnored(t *testing.T) {
	is := is.New(t)
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", platformConfiguration(3, "front"))
	front := startPlatformNode(t, store.URL, "front")
	deep := startPlatformNode(t, store.URL, "deep")
	for _, n := range []*platformNode{front, deep} {
		n.awaitReady(t)
	}
	front.getUntilServed(t, "/deep/x", "")

	var own, sender membership.Member
	for _, member := range front.status().Members {
		if member.Control == front.control {
			own = member
		} else {
			sender = member
		}
	}
	for _, odd := range oddRecords(own) {
		body, err := json.Marshal(wire.Envelope{Membership: membership.Message{Kind: membership.Gossip, From: sender, Updates: []membership.Member{odd}}})
		is.NoErr(err)
		is.Equal(front.gossip(body), http.StatusOK) // the sender is a member
		body, err = json.Marshal(wire.Envelope{Membership: membership.Message{Kind: membership.Gossip, From: odd}})
		is.NoErr(err)
		is.Equal(front.gossip(body), http.StatusBadRequest)
	}
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, body := range []string{nested, `{"membership":` + nested + `}`, `{"membership":{"from":{"st":1e999}}}`, `{"membership":{"kind":`} {
		is.Equal(front.gossip([]byte(body)), http.StatusBadRequest)
	}
	time.Sleep(time.Second) // two probes of each member
	for _, n := range []*platformNode{front, deep} {
		members := n.status().Members
		is.Equal(len(members), 2)
		for _, member := range members {
			is.True(member.ID != "odd" && member.Status == membership.Alive && member.Generation > 0 && member.Generation < math.MaxInt64)
		}
		is.Equal(n.getUntilServed(t, "/deep/x", "").status, http.StatusOK)
	}
	is.True(strings.Contains(front.log.String(), "member-refused"))
}
