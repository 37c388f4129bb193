package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, MaximumAttempts: 1, Split: []SplitPart{{Service: name, Weight: 1}}}
}

func TestLongestPrefixWins(t *testing.T) {
	table := newRouteTable([]Route{
		testRoute("root", "a.example", "/"),
		testRoute("long", "a.example", "/one/two/"),
		testRoute("short", "a.example", "/one/"),
		testRoute("other", "b.example", "/one/"),
	})
	cases := []struct{ host, path, want string }{
		{"a.example", "/one/two/three", "long"},
		{"a.example", "/one/two/", "long"},
		{"a.example", "/one/two", "short"},
		{"a.example", "/one", "root"},
		{"A.Example", "/one/x", "short"},
		{"a.example", "/oneself/", "root"},
		{"b.example", "/one/x", "other"},
		{"b.example", "/two/", ""},
		{"c.example", "/one/", ""},
		{"a.example", "", ""},
		{"a.example", "*", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			found := table.Find(c.host, c.path)
			if c.want == "" {
				is.True(found == nil)
				return
			}
			is.Equal(found.Name, c.want)
		})
	}
}

func TestServiceAtFollowsWeights(t *testing.T) {
	is := is.New(t)
	route := Route{Split: []SplitPart{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.ServiceAt(float64(i)/1000)]++
	}
	is.Equal(counts["a"], 900)
	is.Equal(counts["b"], 100)
	is.Equal(counts["none"], 0)
}

func TestInvalidRouteIsRejected(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Route)
	}{
		{"no host", func(r *Route) { r.Host = "" }},
		{"prefix without a trailing slash", func(r *Route) { r.PathPrefix = "/a" }},
		{"no attempts", func(r *Route) { r.MaximumAttempts = 0 }},
		{"empty split", func(r *Route) { r.Split = nil }},
		{"total weight of 0", func(r *Route) { r.Split[0].Weight = 0 }},
		{"a part without a service", func(r *Route) { r.Split[0].Service = "" }},
		{"negative timeout", func(r *Route) { r.Timeout = -1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			broken := testRoute("a", "a.example", "/a/")
			is.NoErr((&Document{Routes: []Route{broken}}).Check())
			c.change(&broken)
			is.True((&Document{Routes: []Route{broken}}).Check() != nil)
		})
	}
}

func TestRouteOverridesTree(t *testing.T) {
	is := is.New(t)
	route := testRoute("r", "a.example", "/a/")
	route.Class, route.Repeatable = Critical, true
	route.MaximumAttempts, route.Timeout = 3, Duration(800*time.Millisecond)
	got := route.Apply(NewIndex(nil).Resolve("s", "POST", "/a/"))
	is.Equal(got.Class, Critical)
	is.True(got.Repeatable)
	is.True(got.Known)
	is.Equal(got.RetryBudget, 32) // retries in the whole call graph
	is.Equal(got.Deadline, 800*time.Millisecond)
	is.Equal(got.QueueTime, DefaultQueueTime) // not set by routes: from the tree
}
