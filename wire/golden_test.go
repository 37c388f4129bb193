package wire_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/claims"
	"github.com/loomcleat/loomcleat/internal/golden"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/wire"
)

// TestMessageFormats guards against changes to the JSON messages. Processes of two versions
// must understand each other while a mesh is upgraded machine by machine.
func TestMessageFormats(t *testing.T) {
	for file, check := range map[string]func(*testing.T, string){
		"gossip.jsonl":            golden.Message[wire.Envelope],
		"revisions.jsonl":         golden.Message[wire.Revisions],
		"document.jsonl":          golden.Message[wire.Document],
		"crashes.jsonl":           golden.Message[wire.Crashes],
		"quota-report.jsonl":      golden.Message[wire.QuotaReport],
		"quota-answer.jsonl":      golden.Message[wire.QuotaAnswer],
		"tenants.jsonl":           golden.Message[wire.Tenants],
		"status.jsonl":            golden.Message[wire.Status],
		"left-back-ends.jsonl":    golden.Message[wire.LeftBackEnds],
		"leave.jsonl":             golden.Message[wire.Leave],
		"empty.jsonl":             golden.Message[wire.Empty],
		"claim-request.jsonl":     golden.Message[wire.ClaimRequest],
		"claim-reply.jsonl":       golden.Message[wire.ClaimReply],
		"claim-update.jsonl":      golden.Message[wire.ClaimUpdate],
		"claim-status.jsonl":      golden.Message[wire.ClaimStatus],
		"hand-over-request.jsonl": golden.Message[wire.HandOverRequest],
		"hand-over-reply.jsonl":   golden.Message[wire.HandOverReply],
		"seat-request.jsonl":      golden.Message[wire.VoteTransfer],
		"seat-reply.jsonl":        golden.Message[wire.VoteTransferReply],
		"outcome-request.jsonl":   golden.Message[wire.OutcomeRequest],
		"outcome-reply.jsonl":     golden.Message[wire.OutcomeReply],
	} {
		t.Run(file, func(t *testing.T) { check(t, file) })
	}
}

// TestEnumValues guards against changes to enumeration values that are sent as numbers.
func TestEnumValues(t *testing.T) {
	for _, c := range []struct {
		name string
		got  int
		want int
	}{
		{"a member is alive", int(membership.Alive), 0},
		{"a member is suspected", int(membership.Suspect), 1},
		{"a member is dead", int(membership.Dead), 2},
		{"gossip: ping", int(membership.Ping), 0},
		{"gossip: indirect ping", int(membership.PingThrough), 1},
		{"gossip: updates only", int(membership.Gossip), 2},
		{"gossip: compare lists", int(membership.Sync), 3},
		{"claim granted", int(claims.Granted), 0},
		{"claim held", int(claims.Held), 1},
		{"claim at an old epoch", int(claims.Stale), 2},
		{"claim at an unknown epoch", int(claims.Behind), 3},
		{"claim while claims are collected", int(claims.Syncing), 4},
		{"claim while the memory is full", int(claims.Full), 5},
		{"run unknown", int(wire.RunUnknown), 0},
		{"run abandoned", int(wire.RunAbandoned), 1},
		{"run active", int(wire.RunActive), 2},
		{"run finished", int(wire.RunFinished), 3},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, c.got, c.want)
		}
	}
}

// TestWireNames guards against changes to the names of headers, paths and documents.
func TestWireNames(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{wire.Prefix, "Loomcleat-"},
		{wire.HeaderToken, "Loomcleat-Context"},
		{wire.HeaderCall, "Loomcleat-Call"},
		{wire.HeaderReport, "Loomcleat-Report"},
		{wire.HeaderBackEnd, "Loomcleat-Back-End"},
		{wire.HeaderIdempotencyKey, "Idempotency-Key"},
		{wire.HeaderAPIKey, "X-Api-Key"},
		{wire.HeaderTenant, "Tenant-Name"},
		{wire.PathGossip, "/v1/gossip"},
		{wire.PathDocument, "/v1/documents/"},
		{wire.PathStatus, "/v1/status"},
		{wire.PathRevisions, "/v1/revisions"},
		{wire.PathQuota, "/v1/quota"},
		{wire.PathTenants, "/v1/tenants"},
		{wire.PathQuarantine, "/v1/quarantine"},
		{wire.PathLeave, "/v1/leave"},
		{wire.PathClaim, "/v1/claims/claim"},
		{wire.PathWithdraw, "/v1/claims/withdraw"},
		{wire.PathFinish, "/v1/claims/finish"},
		{wire.PathHandOver, "/v1/claims/hand-over"},
		{wire.PathOutcome, "/v1/claims/outcome"},
		{wire.PathClaimStatus, "/v1/claims/status"},
		{wire.PathVote, "/v1/claims/seat"},
		{string(wire.DocumentPolicy), "policy"},
		{string(wire.DocumentGroups), "claim-groups"},
	} {
		if c.got != c.want {
			t.Errorf("got %q, want %q", c.got, c.want)
		}
	}
}

// TestHeaderFormats guards against changes to the names and units in HeaderCall and
// HeaderReport.
func TestHeaderFormats(t *testing.T) {
	is := is.New(t)
	call, report := golden.Filled[wire.CallContext](), golden.Filled[wire.Report]()
	header := http.Header{}
	call.Write(header)
	report.Write(header)
	golden.Text(t, "headers.txt", []byte(
		wire.HeaderCall+": "+header.Get(wire.HeaderCall)+"\n"+wire.HeaderReport+": "+header.Get(wire.HeaderReport)+"\n"))
	is.Equal(wire.ReadCallContext(header), call)
	is.Equal(wire.ReadReport(header), report)
}
