package retrybudget

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The seed is fixed, so that results are reproducible. Use -rapid.seed=0 -rapid.checks=N
// to test other cases.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

func TestAccount(t *testing.T) {
	cases := []struct {
		name  string
		grant int
		steps func(*Account)
		left  int
	}{
		{"negative grant counts as 0", -1, func(*Account) {}, 0},
		{"spend", 2, func(a *Account) { a.Spend() }, 1},
		{"spend more than the grant", 1, func(a *Account) { a.Spend(); a.Spend() }, 0},
		{"delegate half, rounded up", 3, func(a *Account) { a.Delegate() }, 1},
		{"delegate the last one", 1, func(a *Account) { a.Delegate() }, 0},
		{"return unused", 3, func(a *Account) { a.ReturnUnused(a.Delegate(), 2) }, 3},
		{"return more than delegated", 3, func(a *Account) { a.ReturnUnused(a.Delegate(), 99) }, 3},
		{"return a negative number", 3, func(a *Account) { a.ReturnUnused(a.Delegate(), -5) }, 1},
		{"return after close", 3, func(a *Account) { l := a.Delegate(); a.Close(); a.ReturnUnused(l, l) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			account := Open(c.grant)
			c.steps(account)
			is.Equal(account.Left(), c.left)
		})
	}
}

func TestCloseReturnsUnusedRetriesOnce(t *testing.T) {
	is := is.New(t)
	account := Open(4)
	is.Equal(account.Close(), 4)
	is.Equal(account.Close(), 0)
	is.True(!account.Spend())
	is.Equal(account.Delegate(), 0)
}

// graph runs a user request through a random call graph in which calls fail and answers
// are lost at random. It counts the retries.
type graph struct {
	t       *rapid.T
	retries int
	calls   int
}

const maximumCalls = 4000 // bounds the time of one random graph

// run simulates one execution of a service, with up to depth levels of calls below it.
func (g *graph) run(allowance, depth int) (unused int, ok bool) {
	account := Open(allowance)
	g.calls++
	ok = rapid.Bool().Draw(g.t, "ok")
	children := rapid.IntRange(0, 3).Draw(g.t, "children")
	if depth == 0 || g.calls > maximumCalls {
		children = 0
	}
	for range children {
		ok = g.call(account, depth-1) && ok
	}
	return account.Close(), ok
}

// call simulates one call with retries, as a node makes it for its back end.
func (g *graph) call(account *Account, depth int) bool {
	for {
		allowance := account.Delegate()
		unused, ok := g.run(allowance, depth)
		answerLost := rapid.IntRange(0, 3).Draw(g.t, "lost") == 0
		if !answerLost {
			account.ReturnUnused(allowance, unused)
		}
		if ok && !answerLost {
			return true
		}
		if !account.Spend() {
			return false
		}
		g.retries++
	}
}

func TestRetriesStayWithinGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grant := rapid.IntRange(0, 8).Draw(t, "grant")
		depth := rapid.IntRange(1, 6).Draw(t, "depth")
		g := &graph{t: t}
		g.call(Open(grant), depth)
		if g.retries > grant {
			t.Fatalf("%d retries with a grant of %d", g.retries, grant)
		}
	})
}

// countRetries simulates the worst case, in which every call fails and no answer is lost.
func countRetries(account *Account, depth, width int, retries *int) {
	for {
		allowance := account.Delegate()
		callee := Open(allowance)
		if depth > 1 {
			for range width {
				countRetries(callee, depth-1, width, retries)
			}
		}
		account.ReturnUnused(allowance, callee.Close())
		if !account.Spend() {
			return
		}
		*retries++
	}
}

func TestGrantIsUsedUpWhenEverythingFails(t *testing.T) {
	cases := []struct{ grant, depth, width int }{
		{3, 21, 1}, {32, 21, 1}, {3, 4, 8}, {8, 5, 8}, {0, 21, 1},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("grant %d depth %d width %d", c.grant, c.depth, c.width), func(t *testing.T) {
			is := is.New(t)
			retries := 0
			countRetries(Open(c.grant), c.depth, c.width, &retries)
			is.Equal(retries, c.grant) // the grant is used up and not exceeded
		})
	}
}

func TestRatio(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	ratio := NewRatio(now)
	allowed := 0
	for range 1000 {
		ratio.RecordCall(now, 0.1)
		if ratio.Spend(now) {
			allowed++
		}
	}
	is.True(allowed >= 100)            // a tenth of the calls
	is.True(allowed <= 100+ratioBurst) // and the burst
	is.True(!ratio.Spend(now))
	is.True(ratio.Spend(now.Add(2 * time.Second))) // the minimum rate
}

func ExampleAccount() {
	gateway := Open(3)
	allowance := gateway.Delegate() // sent with the call
	callee := Open(allowance)       // in the process that serves the call
	callee.Spend()                  // one retry of a call that the callee makes
	unused := callee.Close()
	gateway.ReturnUnused(allowance, unused)
	fmt.Println(allowance, unused, gateway.Left())
	// Output: 2 1 2
}
