package wire

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCallContextRoundTrip(t *testing.T) {
	for name, sent := range map[string]CallContext{
		"all fields": {
			Service: "a=b, c&d/é", Request: "r-1", Attempt: "a-1", Priority: 1023, Remaining: 1500 * time.Microsecond,
			RetryAllowance: 8, Hops: 21, TargetLatency: 300 * time.Millisecond, IsRetry: true, ClaimKey: "00ff", Resent: true,
		},
		"some fields": {Service: "s", Request: "r", Attempt: "a", Remaining: time.Second},
		"no fields":   {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{}
			sent.Write(header)
			is.Equal(ReadCallContext(header), sent)
		})
	}
}

func TestReportRoundTrip(t *testing.T) {
	for name, sent := range map[string]Report{
		"all fields": {
			Attempt: "a-1", UnusedRetries: 3, Level: 900, Pressure: 12.5, LoadKnown: true, Load: 1.4,
			FaultRate: 0.12, CausedDownstream: true, Leaving: true, Replayed: true,
		},
		"unknown load": {Attempt: "a"},
		"no fields":    {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{}
			sent.Write(header)
			is.Equal(ReadReport(header), sent)
		})
	}
}

// TestReportZeroLoad guards against reading the load of an idle node as unknown.
func TestReportZeroLoad(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	sent := Report{Attempt: "a", LoadKnown: true}
	sent.Write(header)
	got := ReadReport(header)
	is.True(got.LoadKnown && got.Load <= 0.01)
}

// TestReadSkipsUnknownValues guards against failing on values from a newer process or on
// malformed ones.
func TestReadSkipsUnknownValues(t *testing.T) {
	is := is.New(t)
	header := http.Header{HeaderCall: {"new=1,,=,priority,service=%zz,priority=x,hops=2,left=-"}}
	is.Equal(ReadCallContext(header), CallContext{Hops: 2})
	is.Equal(ReadCallContext(http.Header{}), CallContext{})
	header = http.Header{HeaderReport: {strings.Repeat("x", 100) + ",load=,load=-3,leaving=yes,level=7"}}
	is.Equal(ReadReport(header), Report{Level: 7})
}
