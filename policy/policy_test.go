package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func buildDocument(t *testing.T, changes ...Change) *Document {
	t.Helper()
	document := &Document{Entries: map[string]Settings{}}
	next, err := document.Apply("edit", "test", time.Unix(0, 0), changes)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestInheritance(t *testing.T) {
	document := buildDocument(t,
		Change{Path: "/", Key: "retry_budget", Value: "1"},
		Change{Path: "sales", Key: "class", Value: "interactive"},
		Change{Path: "sales/cabins", Key: "deadline", Value: "2s"},
		Change{Path: "sales/cabins/booking", Key: "retry_budget", Value: "4"},
		Change{Path: "sales/cabins/booking POST /pay/**", Key: "class", Value: "critical"},
		Change{Path: "sales/cabins/booking * /export/*", Key: "repeatable", Value: "true"},
	)
	index := NewIndex(document)
	cases := []struct {
		name, service, method, path string
		want                        Effective
	}{
		{"inherits from all levels", "booking", "GET", "/list",
			Effective{Path: "sales/cabins/booking", Class: Interactive, Repeatable: true, RetryBudget: 4, Deadline: 2 * time.Second}},
		{"call path overrides", "booking", "POST", "/pay/1/2",
			Effective{Path: "sales/cabins/booking POST /pay/**", Class: Critical, RetryBudget: 4, Deadline: 2 * time.Second}},
		{"another method does not match the call path", "booking", "GET", "/pay/1",
			Effective{Path: "sales/cabins/booking", Class: Interactive, Repeatable: true, RetryBudget: 4, Deadline: 2 * time.Second}},
		{"repeatable set for any method", "booking", "POST", "/export/7",
			Effective{Path: "sales/cabins/booking * /export/*", Class: Interactive, Repeatable: true, RetryBudget: 4, Deadline: 2 * time.Second}},
		{"an unknown service gets the root", "other", "POST", "/",
			Effective{Path: "/", Class: Default, RetryBudget: 1, Deadline: DefaultDeadline}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := index.Resolve(c.service, c.method, c.path)
			is.Equal(got.Path, c.want.Path)
			is.Equal(got.Class, c.want.Class)
			is.Equal(got.Repeatable, c.want.Repeatable)
			is.Equal(got.RetryBudget, c.want.RetryBudget)
			is.Equal(got.Deadline, c.want.Deadline)
		})
	}
}

func TestPatternMatches(t *testing.T) {
	cases := []struct {
		pattern, method, path string
		want                  bool
	}{
		{"GET /a", "GET", "/a", true},
		{"GET /a", "POST", "/a", false},
		{"* /a", "PATCH", "/a", true},
		{"GET /a", "GET", "/a/", false},
		{"GET /a/", "GET", "/a/", true},
		{"GET /a/*", "GET", "/a/b", true},
		{"GET /a/*", "GET", "/a/b/c", false},
		{"GET /a/*/c", "GET", "/a/b/c", true},
		{"GET /a/**", "GET", "/a/b/c", true},
		{"GET /a/**", "GET", "/a", true},
		{"GET /a/**", "GET", "/ab", false},
		{"GET /**", "GET", "//x", true},
		{"GET /", "GET", "/", true},
	}
	for _, c := range cases {
		t.Run(c.pattern+" "+c.path, func(t *testing.T) {
			is := is.New(t)
			pattern, err := ParsePattern(c.pattern)
			is.NoErr(err)
			is.Equal(pattern.Matches(c.method, c.path), c.want)
		})
	}
}

// A rejected edit leaves the document unchanged.
func TestInvalidEditIsRejected(t *testing.T) {
	cases := []struct {
		name    string
		changes []Change
	}{
		{"no change", nil},
		{"service name used twice", []Change{{Path: "a/b/x", Key: "class", Value: "bulk"}, {Path: "a/c/x", Key: "class", Value: "bulk"}}},
		{"minimum above an inherited maximum", []Change{{Path: "a", Key: "concurrency_max", Value: "5"}, {Path: "a/b", Key: "concurrency_min", Value: "6"}}},
		{"call path above a service", []Change{{Path: "a/b GET /x", Key: "class", Value: "bulk"}}},
		{"tail wildcard in the middle", []Change{{Path: "a/b/c GET /**/x", Key: "class", Value: "bulk"}}},
		{"capital letters", []Change{{Path: "A/b/c", Key: "class", Value: "bulk"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			document := &Document{Entries: map[string]Settings{}}
			_, err := document.Apply("edit", "", time.Unix(0, 0), c.changes)
			is.True(err != nil)
			is.Equal(document.Revision, uint64(0)) // a rejected edit changed the document
			is.Equal(len(document.Entries), 0)
		})
	}
}
