package explain

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/result"
)

// A mesh of three processes: the entry e, the node n of the first service and the
// node m of the one that it calls. Times of day are left out, as they say nothing.
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

func TestTheStoryFollowsTheCallsDown(t *testing.T) {
	is := is.New(t)
	story, err := Tell(readAll(t, entryLog, nodeLog, deepLog), "a")
	is.NoErr(err)
	order := []string{}
	for _, step := range story.Steps {
		order = append(order, step.Record.Origin+" "+step.Record.Name+" "+step.Record.Request)
	}
	is.Equal(order, []string{
		"node-m request-refused a.1",     // what the deepest node said
		"node-n request-refused a.1",     // what became of the call
		"node-n answered-with-failure a", // so its caller failed
		"entry attempt-repeated a",       // and the entry tried another node
		"entry answered-with-failure a",  // in vain
	})
	is.Equal(story.Steps[0].Depth, 1)
	is.Equal(story.Steps[4].Depth, 0)
	is.Equal(story.Cause.Code, result.BackendLeft)
	is.Equal(story.Suppressed, int64(7))
	is.True(slices.ContainsFunc(story.Beliefs, func(r Record) bool { return r.Event == event.BackendDraining }))

	var text strings.Builder
	story.Print(&text)
	is.True(strings.Contains(text.String(), result.BackendLeft.Definition().Text))
}

func TestBeliefsAreThoseBeforeTheCause(t *testing.T) {
	is := is.New(t)
	story, err := Tell(readAll(t, entryLog, nodeLog, deepLog), "b")
	is.NoErr(err)
	is.Equal(story.Cause.Code, result.NoRoute)
	revisions := []uint64{}
	for _, belief := range story.Beliefs {
		is.Equal(belief.Origin, "entry")
		is.True(belief.Event != event.GateMoved)       // of another route
		is.True(belief.Event != event.MemberSuspected) // of a node that was not tried
		if belief.Event == event.DocumentAdopted {
			revisions = append(revisions, belief.Revision)
		}
	}
	is.Equal(revisions, []uint64{5}) // the last one
}

// TestCallsThatWereGivenUpAreNoCause: the back end crashed, and its node gave up the
// call that it had made.
func TestCallsThatWereGivenUpAreNoCause(t *testing.T) {
	is := is.New(t)
	log := `
{"@message":"request-failed","event":410,"direction":"inbound","request":"a.1","code":3004}
{"@message":"request-failed","event":410,"direction":"outbound","request":"a.1","parent":"a","code":3004}
{"@message":"request-failed","event":410,"direction":"inbound","request":"a","code":3002}
{"@message":"request-failed","event":410,"direction":"outbound","request":"a","code":3002}
`
	story, err := Tell(readAll(t, log), "a")
	is.NoErr(err)
	is.Equal(story.Cause.Code, result.ConnectionLost)
	is.Equal(len(story.Steps), 4)
}

// TestTheReasonIsThatOfTheCallItself: the node beside the back end saw only that its
// caller went away; the caller knows why.
func TestTheReasonIsThatOfTheCallItself(t *testing.T) {
	is := is.New(t)
	log := `
{"@message":"request-failed","event":410,"direction":"inbound","request":"a","code":3004}
{"@message":"request-failed","event":410,"direction":"outbound","request":"a","code":3001}
`
	story, err := Tell(readAll(t, log), "a")
	is.NoErr(err)
	is.Equal(story.Cause.Code, result.DeadlineExceeded)
}

func TestRequestsWithoutNamesOfTheirOwn(t *testing.T) {
	is := is.New(t)
	story, err := Tell(readAll(t, entryLog, nodeLog, deepLog), "u1")
	is.NoErr(err)
	is.Equal(len(story.Steps), 5)
	is.Equal(story.Steps[0].Depth, 1)
}

func TestNothingIsKnown(t *testing.T) {
	is := is.New(t)
	_, err := Tell(readAll(t, entryLog), "c")
	is.Equal(result.From(err).Code, result.NotFound)
	is.True(strings.Contains(err.Error(), "7 lines"))
	_, err = Append(nil, "broken", strings.NewReader(strings.Repeat("x", maximumLine+1)))
	is.Equal(result.From(err).Code, result.BadRequest)
	loop := `{"event":411,"request":"a","parent":"a","direction":"outbound","code":2001}`
	story, err := Tell(readAll(t, loop), "a")
	is.NoErr(err)
	is.Equal(len(story.Steps), 1) // a request that names itself as its parent
	is.Equal(story.Cause.Code, result.Overloaded)
}

func TestAStoryNamesOtherTriesAndCrashes(t *testing.T) {
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
	story, err := Tell(readAll(t, entry, beside), "b")
	is.NoErr(err)
	is.Equal(story.Tries, []string{"a"})
	is.Equal(len(story.Crashes), 2)

	var text strings.Builder
	story.Print(&text)
	is.True(strings.Contains(text.String(), "Other tries that asked for the same: a\n"))
	is.True(strings.Contains(text.String(), "backend-crashed instance=i-1 with 2 requests"))
	is.True(!strings.Contains(text.String(), "i-2"))
}
