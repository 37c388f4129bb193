package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// signatureOf returns the signature of the request with a name.
func signatureOf(name string) Signature { return SignatureOf(Request{Target: name}) }

func TestLostRequests(t *testing.T) {
	type loss struct {
		at       time.Duration
		instance string
		request  string
	}
	cases := []struct {
		name     string
		losses   []loss
		instance string
		suspects []string
	}{
		{"nothing was lost", nil, "a", nil},
		{"each is named once", []loss{{0, "a", "x"}, {1, "a", "y"}, {2, "a", "x"}}, "a", []string{"x", "y"}},
		{"one that was lost long before is none of them", []loss{{0, "a", "x"}, {1001 * time.Millisecond, "a", "y"}}, "a", []string{"y"}},
		{"one that was given up a moment before is", []loss{{0, "a", "x"}, {time.Second, "a", "y"}}, "a", []string{"x", "y"}},
		{"those of an earlier incarnation are not", []loss{{0, "a", "x"}, {1, "b", "y"}}, "b", []string{"y"}},
		{"an incarnation that lost none", []loss{{0, "a", "x"}}, "b", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lost := LostRequests{}
			for _, l := range c.losses {
				lost.Add(start.Add(l.at), l.instance, signatureOf(l.request))
			}
			expected := []Signature(nil)
			for _, request := range c.suspects {
				expected = append(expected, signatureOf(request))
			}
			is.Equal(lost.Suspects(c.instance), expected)
		})
	}
}

func TestLostRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	lost := LostRequests{}
	for i := range 10 * maximumLosses {
		lost.Add(start, "a", signatureOf(strconv.Itoa(i)))
	}
	suspects := lost.Suspects("a")
	is.True(len(suspects) <= maximumLosses)
	is.Equal(suspects[len(suspects)-1], signatureOf(strconv.Itoa(10*maximumLosses-1)))
}
