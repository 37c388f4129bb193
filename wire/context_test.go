package wire

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCallContextComesThroughWhole(t *testing.T) {
	for name, sent := range map[string]CallContext{
		"everything": {
			Service: "a=b, c&d/é", Request: "r-1", Attempt: "a-1", Priority: 1023, Remaining: 1500 * time.Microsecond,
			Budget: 8, Hops: 21, Target: 300 * time.Millisecond, Repeat: true, ClaimKey: "00ff",
		},
		"little":  {Service: "s", Request: "r", Attempt: "a", Remaining: time.Second},
		"nothing": {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{}
			sent.Write(header)
			is.Equal(ReadCallContext(header), sent)
		})
	}
}

func TestReportComesThroughWhole(t *testing.T) {
	for name, sent := range map[string]Report{
		"everything": {
			Attempt: "a-1", Unspent: 3, Level: 900, Pressure: 12.5, LoadKnown: true, Load: 1.4,
			Faults: 0.12, Inherited: true, Leaving: true, Replayed: true,
		},
		"no load is known": {Attempt: "a"},
		"nothing":          {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{}
			sent.Write(header)
			is.Equal(ReadReport(header), sent)
		})
	}
}

// TestAnIdleNodeTellsItsLoad: no load is something else than nothing told.
func TestAnIdleNodeTellsItsLoad(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	sent := Report{Attempt: "a", LoadKnown: true}
	sent.Write(header)
	got := ReadReport(header)
	is.True(got.LoadKnown && got.Load <= 0.01)
}

// TestWhatIsNotUnderstoodIsPassedOver, as a newer process may tell more.
func TestWhatIsNotUnderstoodIsPassedOver(t *testing.T) {
	is := is.New(t)
	header := http.Header{HeaderCall: {"new=1,,=,priority,service=%zz,priority=x,hops=2,left=-"}}
	is.Equal(ReadCallContext(header), CallContext{Hops: 2})
	is.Equal(ReadCallContext(http.Header{}), CallContext{})
	header = http.Header{HeaderReport: {strings.Repeat("x", 100) + ",load=,load=-3,leaving=yes,level=7"}}
	is.Equal(ReadReport(header), Report{Level: 7})
}
