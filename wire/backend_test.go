package wire

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/instance"
	"github.com/loomcleat/loomcleat/ratelimit"
)

func TestDeclaredRoundTrip(t *testing.T) {
	limit, none := ratelimit.Rate(4.8), ratelimit.Rate(0)
	leavingFor := 1500 * time.Millisecond
	for name, sent := range map[string]instance.Declared{
		"limit":       {Incarnation: "i-1@17", Limit: &limit},
		"zero":        {Incarnation: "i-1", Limit: &none},
		"leaving":     {Incarnation: "i-1", Leaving: true},
		"leaving for": {Incarnation: "i-1", Leaving: true, LeavingFor: &leavingFor},
		"both":        {Incarnation: "i-1", Limit: &limit, Leaving: true},
		"no identity": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{}
			WriteDeclared(header, sent)
			is.Equal(ReadDeclared(header), sent)
		})
	}
}

// TestDeclaredWithoutRestriction guards against a header on every answer of an ordinary back end.
func TestDeclaredWithoutRestriction(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	WriteDeclared(header, instance.Declared{Incarnation: "i-1"})
	is.Equal(len(header), 0)
	is.Equal(ReadDeclared(header), instance.Declared{})
}

// TestMalformedDeclared guards against taking a malformed limit for one of 0.
func TestMalformedDeclared(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"limit=x", "limit=-1", "limit=NaN", "limit=Inf", "limit=", "limit", "leaving=yes", "leaving_ms=-1", "leaving_ms=x", "leaving_ms=1e3", "leaving_ms=86400001"} {
		is.Equal(ReadDeclared(http.Header{HeaderBackEnd: {text}}), instance.Declared{})
	}
}
