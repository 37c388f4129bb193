package wire

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReadRemaining(t *testing.T) {
	cases := []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"1500", 1500 * time.Millisecond, true},
		{"0", 0, true},
		{"", 0, false},
		{"-1", 0, false},
		{"1.5", 0, false},
		{"99999999999999999999", 0, false},
		{"9223372036854775807", 0, false}, // would overflow
	}
	dialect := Dialect{Remaining: "Left"}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			got, ok := dialect.ReadRemaining(http.Header{"Left": {c.text}})
			is.Equal(got, c.want)
			is.Equal(ok, c.ok)
		})
	}
	is := is.New(t)
	_, ok := (&Dialect{}).ReadRemaining(http.Header{"Left": {"5"}})
	is.True(!ok) // this dialect has no such header
}

// TestWriteRemainingRoundsDown guards against sending a back end more time than is left.
func TestWriteRemainingRoundsDown(t *testing.T) {
	is := is.New(t)
	dialect := Dialect{Remaining: "Left"}
	header := http.Header{}
	dialect.WriteRemaining(header, 1999*time.Microsecond)
	is.Equal(header.Get("Left"), "1")
	dialect.WriteRemaining(header, -time.Second)
	is.Equal(header.Get("Left"), "0")
}

func TestTakeCredential(t *testing.T) {
	cases := map[string]struct {
		keys []string
		want string
	}{
		"no key":    {nil, ""},
		"one key":   {[]string{"k"}, "k"},
		"two keys":  {[]string{"k", "l"}, ""},
		"empty key": {[]string{""}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dialect := Dialect{Credential: "Key", Tenant: "For"}
			header := http.Header{"Key": c.keys, "For": {"forged"}, "Other": {"x"}}
			is.Equal(dialect.TakeCredential(header), c.want)
			is.Equal(header, http.Header{"Other": {"x"}})
			dialect.WriteTenant(header, "t")
			is.Equal(header.Get("For"), "t")
		})
	}
	is := is.New(t)
	is.Equal((&Dialect{}).TakeCredential(http.Header{HeaderAPIKey: {"k"}}), "k")
}
