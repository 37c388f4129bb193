package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// signatureOf returns the signature of a request with the given target.
func signatureOf(name string) Signature { return SignatureOf(Request{Target: name}) }

func TestUnansweredRequests(t *testing.T) {
	type unansweredRequest struct {
		at          time.Duration
		incarnation string
		request     string
	}
	cases := []struct {
		name        string
		unanswered  []unansweredRequest
		incarnation string
		suspects    []string
	}{
		{"no unanswered request", nil, "a", nil},
		{"request unanswered twice", []unansweredRequest{{0, "a", "x"}, {1, "a", "y"}, {2, "a", "x"}}, "a", []string{"x", "y"}},
		{"before the crash window", []unansweredRequest{{0, "a", "x"}, {1001 * time.Millisecond, "a", "y"}}, "a", []string{"y"}},
		{"at the start of the crash window", []unansweredRequest{{0, "a", "x"}, {time.Second, "a", "y"}}, "a", []string{"x", "y"}},
		{"earlier incarnation", []unansweredRequest{{0, "a", "x"}, {1, "b", "y"}}, "b", []string{"y"}},
		{"no unanswered request at this incarnation", []unansweredRequest{{0, "a", "x"}}, "b", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			requests := UnansweredRequests{}
			for _, added := range c.unanswered {
				requests.Add(start.Add(added.at), added.incarnation, signatureOf(added.request))
			}
			expected := []Signature(nil)
			for _, request := range c.suspects {
				expected = append(expected, signatureOf(request))
			}
			is.Equal(requests.Suspects(c.incarnation), expected)
		})
	}
}

func TestUnansweredRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	requests := UnansweredRequests{}
	for i := range 10 * maximumUnanswered {
		requests.Add(start, "a", signatureOf(strconv.Itoa(i)))
	}
	suspects := requests.Suspects("a")
	is.True(len(suspects) <= maximumUnanswered)
	is.Equal(suspects[len(suspects)-1], signatureOf(strconv.Itoa(10*maximumUnanswered-1)))
}
