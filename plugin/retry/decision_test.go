package retry

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/retrybudget"
	"github.com/loomcleat/loomcleat/settings"
)

var update = flag.Bool("update", false, "rewrite testdata/decisions.txt")

const decisionsFile = "testdata/decisions.txt"

// situation is a set of conditions under which a call fails several times before it is answered.
type situation struct {
	name string
	// Whether all processes share one retry budget.
	shared bool
	change func(*kernel.Call, *settings.Settings)
}

// situations returns, for each kind of retry budget, all combinations of repeatable, claims and
// upstream work, and each of the other conditions by itself.
func situations() []situation {
	list := []situation{}
	for _, shared := range []bool{true, false} {
		budget := map[bool]string{true: "shared budget", false: "budget of the request"}[shared]
		add := func(name string, change func(*kernel.Call, *settings.Settings)) {
			list = append(list, situation{budget + ", " + name, shared, change})
		}
		for facts := range 8 {
			repeatable, claims, upstreamWork := facts&1 != 0, facts&2 != 0, facts&4 != 0
			name := fmt.Sprintf("repeatable %t, claims %t, committed %t", repeatable, claims, upstreamWork)
			add(name, func(call *kernel.Call, s *settings.Settings) {
				call.Policy.Repeatable, s.Claims, call.Hops = repeatable, claims, 0
				if upstreamWork {
					call.Hops = 1
				}
			})
		}
		add("no retry left", func(call *kernel.Call, _ *settings.Settings) { call.Budget = retrybudget.Open(0) })
		add("two attempts for a call", func(call *kernel.Call, _ *settings.Settings) { call.Policy.MaximumAttempts = 2 })
		add("no time left", func(call *kernel.Call, _ *settings.Settings) { call.Deadline = clock.Now() })
		add("body streamed", func(call *kernel.Call, _ *settings.Settings) {
			call.Body = &kernel.Body{}
			call.Body.Open()
		})
		add("caller gone", func(call *kernel.Call, _ *settings.Settings) {
			ctx, cancel := context.WithCancel(call.Context)
			cancel()
			call.Context = ctx
		})
	}
	return list
}

// endings returns every way in which an attempt can end, each as a call whose attempts all end
// in that way.
func endings() map[string][]attempt {
	all := map[string][]attempt{}
	for _, status := range []int{200, 404, 429, 500, 502, 503, 504} {
		all[fmt.Sprint("status ", status)] = []attempt{answerWith(status)}
	}
	for _, definition := range result.Table {
		all[definition.Name] = []attempt{failWith(definition.Code)}
		all[definition.Name+" (ran)"] = []attempt{failAfterRun(definition.Code)}
	}
	return all
}

// sequences returns calls whose first three attempts end in different ways.
func sequences() map[string][]attempt {
	codes := []result.Code{result.NodeRefused, result.Overloaded, result.BackendRefused, result.ConnectionLost, result.ShedEarly}
	all := map[string][]attempt{}
	for _, first := range codes {
		for _, second := range codes {
			for _, third := range codes {
				name := fmt.Sprint(int(first), " ", int(second), " ", int(third))
				all[name] = []attempt{failWith(first), failWith(second), failWith(third)}
			}
		}
	}
	return all
}

// failingAttempts is the number of attempts of a call that fail. If fewer endings are listed, the
// last one is repeated.
const failingAttempts = 4

// run makes a call and describes what followed each attempt ("free" or "paid" for an immediate
// retry, "pause" for a retry after a pause) and how the call ended.
func (s situation) run(endings []attempt) string {
	process := newSharedProcess()
	if !s.shared {
		process = &kernel.Process{Settings: settings.Default(settings.RoleNode), Log: event.Discard()}
	}
	call := &kernel.Call{
		Context:  context.Background(),
		Service:  "s",
		Body:     kernel.NewBufferedBody(nil),
		Budget:   retrybudget.Open(16),
		Deadline: clock.Now().Add(time.Hour),
		Hops:     1,
		Policy:   policy.Effective{Repeatable: true, RetryRatio: 1},
	}
	s.change(call, &process.Settings)
	r := &retrier{process: process, limiter: newLimiter(process)}
	steps := []string{}
	attempts, left := 0, call.Budget.Left()
	handler := r.middleware(kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		attempts++
		switch {
		case attempts == 1:
		case call.TriedNodes == nil:
			steps = append(steps, "pause")
		case call.Budget.Left() < left:
			steps = append(steps, "paid")
		default:
			steps = append(steps, "free")
		}
		call.TriedNodes, left = append(call.TriedNodes, "node"), call.Budget.Left()
		if attempts > failingAttempts {
			return newAnswer(http.StatusOK), nil
		}
		ending := endings[min(attempts, len(endings))-1]
		if ending.err != nil {
			return nil, ending.err
		}
		return newAnswer(ending.status), nil
	}))
	answer, err := handler.Handle(call)
	switch {
	case err == nil:
		steps = append(steps, fmt.Sprint(answer.StatusCode))
	case result.From(err).NotRun():
		steps = append(steps, "error, not run")
	default:
		steps = append(steps, "error")
	}
	if call.IsRetry {
		steps = append(steps, "marked as repeated")
	}
	if call.Pressure > 0 {
		steps = append(steps, fmt.Sprint("pressure ", call.Pressure))
	}
	return strings.Join(steps, ", ")
}

func newAnswer(status int) *kernel.Answer {
	return &kernel.Answer{Response: &http.Response{StatusCode: status, Body: http.NoBody, Header: http.Header{}}}
}

// TestDecisions guards against unintended changes of the retry decisions: it runs every ending
// in every situation and compares the result with testdata/decisions.txt.
func TestDecisions(t *testing.T) {
	is := is.New(t)
	var page strings.Builder
	for _, s := range situations() {
		outcomes := s.runAll(endings())
		write(&page, s.name, outcomes)
	}
	usual := situation{"", true, func(*kernel.Call, *settings.Settings) {}}
	write(&page, "shared budget, three attempts that end in different ways", usual.runAll(sequences()))
	if *update {
		is.NoErr(os.WriteFile(decisionsFile, []byte(page.String()), 0o644))
	}
	want, err := os.ReadFile(decisionsFile)
	is.NoErr(err)
	is.Equal(strings.Split(page.String(), "\n"), strings.Split(string(want), "\n"))
}

func write(page *strings.Builder, name string, outcomes map[string][]string) {
	fmt.Fprintf(page, "%s\n", name)
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(page, "  %s: %s\n", outcome, strings.Join(outcomes[outcome], "; "))
	}
}

// runAll runs a call for each of the endings and returns the names of the endings by outcome.
// The calls run concurrently, since some of them pause.
func (s situation) runAll(endings map[string][]attempt) map[string][]string {
	var mutex sync.Mutex
	var group sync.WaitGroup
	outcomes := map[string][]string{}
	for name, ending := range endings {
		group.Go(func() {
			outcome := s.run(ending)
			mutex.Lock()
			defer mutex.Unlock()
			outcomes[outcome] = append(outcomes[outcome], name)
		})
	}
	group.Wait()
	for _, names := range outcomes {
		slices.Sort(names)
	}
	return outcomes
}
