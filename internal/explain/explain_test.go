package explain

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
)

// Logs of a mesh of three processes: the entry e, the node n of the first service, and the
// node m of the service that it calls.
const (
	entryLog = `
{"@message":"process-starting","event":100,"id":"e-1"}
{"@message":"document-adopted","event":200,"revision":4}
{"@message":"gate-moved","event":413,"path":"route:other","share":0.4}
{"@message":"member-suspected","event":301,"member":"n-1"}
{"@message":"attempt-repeated","event":412,"request":"a","user_request":"u1","service":"first","code":2001,"tried":["n-1"]}
not a line of this log
{"@message":"answered-with-failure","event":414,"direction":"outbound","request":"a","user_request":"u1","service":"first","status":500,"tried":["n-1","n-2"]}
{"@message":"document-adopted","event":200,"revision":5,"suppressed":7}
{"@message":"request-refused","event":411,"direction":"outbound","request":"b","user_request":"u2","code":4003,"revision":5,"detail":"no route"}
`
	nodeLog = `
12.5 node-n {"@message":"process-starting","event":100,"id":"n-1"}
12.6 node-n {"@message":"request-refused","event":411,"direction":"outbound","request":"a.1","parent":"a","user_request":"u1","service":"second","hops":1,"code":2001,"tried":["m-1"]}
12.7 node-n {"@message":"answered-with-failure","event":414,"direction":"inbound","request":"a","user_request":"u1","service":"first","status":500}
`
	deepLog = `
12.4 node-m {"@message":"process-starting","event":100,"id":"m-1"}
12.4 node-m {"@message":"backend-draining","event":402,"instance":"i-7"}
12.6 node-m {"@message":"request-refused","event":411,"direction":"inbound","request":"a.1","user_request":"u1","hops":1,"code":2013,"detail":"takes no more"}
`
)

func readAll(t *testing.T, logs ...string) []Record {
	t.Helper()
	all := []Record{}
	for i, log := range logs {
		var err error
		all, err = Append(all, []string{"entry", "n", "m"}[i], strings.NewReader(log))
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

func TestStepsFollowCalls(t *testing.T) {
	is := is.New(t)
	report, err := NewReport(readAll(t, entryLog, nodeLog, deepLog), "a")
	is.NoErr(err)
	order := []string{}
	for _, step := range report.Steps {
		order = append(order, step.Record.Origin+" "+step.Record.Name+" "+step.Record.Request)
	}
	is.Equal(order, []string{
		"node-m request-refused a.1",     // the deepest node refuses the call
		"node-n request-refused a.1",     // outcome of the call at its caller
		"node-n answered-with-failure a", // the caller's back end fails
		"entry attempt-repeated a",       // the entry tries another node
		"entry answered-with-failure a",  // outcome at the entry
	})
	is.Equal(report.Steps[0].Depth, 1)
	is.Equal(report.Steps[4].Depth, 0)
	is.Equal(report.Cause.Code, result.BackendLeft)
	is.Equal(report.Suppressed, int64(7))
	is.True(slices.ContainsFunc(report.Context, func(r Record) bool { return r.Event == event.BackendDraining }))

	var text strings.Builder
	report.Print(&text)
	is.True(strings.Contains(text.String(), result.BackendLeft.Definition().Text))
}

func TestContextPrecedesCause(t *testing.T) {
	is := is.New(t)
	report, err := NewReport(readAll(t, entryLog, nodeLog, deepLog), "b")
	is.NoErr(err)
	is.Equal(report.Cause.Code, result.NoRoute)
	revisions := []uint64{}
	for _, earlier := range report.Context {
		is.Equal(earlier.Origin, "entry")
		is.True(earlier.Event != event.GateMoved)       // the line is about another route
		is.True(earlier.Event != event.MemberSuspected) // the node was not tried
		if earlier.Event == event.DocumentAdopted {
			revisions = append(revisions, earlier.Revision)
		}
	}
	is.Equal(revisions, []uint64{5}) // the last adopted revision only
}

// TestCancelledCallIsNoCause guards against taking a call that a node cancelled after its
// back end crashed for the cause, in place of the crash.
func TestCancelledCallIsNoCause(t *testing.T) {
	is := is.New(t)
	log := `
{"@message":"request-failed","event":410,"direction":"inbound","request":"a.1","code":3004}
{"@message":"request-failed","event":410,"direction":"outbound","request":"a.1","parent":"a","code":3004}
{"@message":"request-failed","event":410,"direction":"inbound","request":"a","code":3002}
{"@message":"request-failed","event":410,"direction":"outbound","request":"a","code":3002}
`
	report, err := NewReport(readAll(t, log), "a")
	is.NoErr(err)
	is.Equal(report.Cause.Code, result.ConnectionLost)
	is.Equal(len(report.Steps), 4)
}

// TestCauseIsCallersReason guards against reporting that the caller went away, as the node
// beside the back end saw it, in place of the caller's own reason.
func TestCauseIsCallersReason(t *testing.T) {
	is := is.New(t)
	log := `
{"@message":"request-failed","event":410,"direction":"inbound","request":"a","code":3004}
{"@message":"request-failed","event":410,"direction":"outbound","request":"a","code":3001}
`
	report, err := NewReport(readAll(t, log), "a")
	is.NoErr(err)
	is.Equal(report.Cause.Code, result.DeadlineExceeded)
}

func TestReportByUserRequest(t *testing.T) {
	is := is.New(t)
	report, err := NewReport(readAll(t, entryLog, nodeLog, deepLog), "u1")
	is.NoErr(err)
	is.Equal(len(report.Steps), 5)
	is.Equal(report.Steps[0].Depth, 1)
}

func TestMissingAndMalformedInput(t *testing.T) {
	is := is.New(t)
	_, err := NewReport(readAll(t, entryLog), "c")
	is.Equal(result.From(err).Code, result.NotFound)
	is.True(strings.Contains(err.Error(), "7 lines"))
	_, err = Append(nil, "broken", strings.NewReader(strings.Repeat("x", maximumLine+1)))
	is.Equal(result.From(err).Code, result.BadRequest)
	loop := `{"event":411,"request":"a","parent":"a","direction":"outbound","code":2001}`
	report, err := NewReport(readAll(t, loop), "a")
	is.NoErr(err)
	is.Equal(len(report.Steps), 1) // a request that is its own parent is listed once
	is.Equal(report.Cause.Code, result.Overloaded)
}

func TestOtherRequestsAndCrashes(t *testing.T) {
	is := is.New(t)
	const entry = `
{"@message":"request-failed","event":410,"direction":"outbound","request":"a","code":3002,"signature":"same"}
{"@message":"request-refused","event":411,"direction":"outbound","request":"b","code":2016,"signature":"same"}
{"@message":"request-refused","event":411,"direction":"outbound","request":"c","code":2001,"signature":"other"}
`
	const beside = `
node-n {"@message":"backend-crashed","event":419,"instance":"i-1","signatures":["other","same"]}
node-n {"@message":"request-quarantined","event":420,"signature":"same"}
node-n {"@message":"backend-crashed","event":419,"instance":"i-2","signatures":["other"]}
`
	report, err := NewReport(readAll(t, entry, beside), "b")
	is.NoErr(err)
	is.Equal(report.OtherRequests, []string{"a"})
	is.Equal(len(report.Crashes), 2)

	var text strings.Builder
	report.Print(&text)
	is.True(strings.Contains(text.String(), "Other tries that asked for the same: a\n"))
	is.True(strings.Contains(text.String(), "backend-crashed instance=i-1 with 2 requests"))
	is.True(!strings.Contains(text.String(), "i-2"))
}
