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

var update = flag.Bool("update", false, "write testdata/decisions.txt anew")

const decisionsFile = "testdata/decisions.txt"

// situation is a call whose attempts end alike several times before one is answered.
type situation struct {
	name   string
	shared bool // one retry budget for all processes
	change func(*kernel.Call, *settings.Settings)
}

// situations returns all pairings of the facts that any code depends on, and each
// of the other facts by itself.
func situations() []situation {
	list := []situation{}
	for _, shared := range []bool{true, false} {
		budget := map[bool]string{true: "shared budget", false: "budget of the request"}[shared]
		add := func(name string, change func(*kernel.Call, *settings.Settings)) {
			list = append(list, situation{budget + ", " + name, shared, change})
		}
		for facts := range 8 {
			repeatable, claims, committed := facts&1 != 0, facts&2 != 0, facts&4 != 0
			name := fmt.Sprintf("repeatable %t, claims %t, committed %t", repeatable, claims, committed)
			add(name, func(call *kernel.Call, s *settings.Settings) {
				call.Policy.Repeatable, s.Claims, call.Hops = repeatable, claims, 0
				if committed {
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

// endings returns all ways in which an attempt can end, for calls whose attempts all
// end alike.
func endings() map[string][]attempt {
	all := map[string][]attempt{}
	for _, status := range []int{200, 404, 429, 500, 502, 503, 504} {
		all[fmt.Sprint("status ", status)] = []attempt{answerWith(status)}
	}
	for _, definition := range result.Table {
		all[definition.Name] = []attempt{failWith(definition.Code)}
		all[definition.Name+" (ran)"] = []attempt{ranBefore(definition.Code)}
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

// failingAttempts is the number of attempts that fail. Those beyond the listed ones
// end as the last one.
const failingAttempts = 4

// play makes a call and tells what came after each attempt: "free" and "paid" for
// another attempt at once, "pause" for one after a pause, and how the call ended.
func (s situation) play(endings []attempt) string {
	process := sharedProcess()
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
	told := []string{}
	attempts, left := 0, call.Budget.Left()
	handler := r.middleware(kernel.HandlerFunc(func(call *kernel.Call) (*kernel.Answer, error) {
		attempts++
		switch {
		case attempts == 1:
		case call.Tried == nil:
			told = append(told, "pause")
		case call.Budget.Left() < left:
			told = append(told, "paid")
		default:
			told = append(told, "free")
		}
		call.Tried, left = append(call.Tried, "node"), call.Budget.Left()
		if attempts > failingAttempts {
			return answered(http.StatusOK), nil
		}
		ending := endings[min(attempts, len(endings))-1]
		if ending.err != nil {
			return nil, ending.err
		}
		return answered(ending.status), nil
	}))
	answer, err := handler.Handle(call)
	switch {
	case err == nil:
		told = append(told, fmt.Sprint(answer.StatusCode))
	case result.From(err).NotRun():
		told = append(told, "error, not run")
	default:
		told = append(told, "error")
	}
	if call.Repeat {
		told = append(told, "marked as repeated")
	}
	if call.Pressure > 0 {
		told = append(told, fmt.Sprint("pressure ", call.Pressure))
	}
	return strings.Join(told, ", ")
}

func answered(status int) *kernel.Answer {
	return &kernel.Answer{Response: &http.Response{StatusCode: status, Body: http.NoBody, Header: http.Header{}}}
}

// TestDecisions plays every ending in every situation and compares with what is
// written down: which codes are sent again at once, free or paid for, or after a pause.
func TestDecisions(t *testing.T) {
	is := is.New(t)
	var page strings.Builder
	for _, s := range situations() {
		outcomes := s.playAll(endings())
		write(&page, s.name, outcomes)
	}
	usual := situation{"", true, func(*kernel.Call, *settings.Settings) {}}
	write(&page, "shared budget, three attempts that end in different ways", usual.playAll(sequences()))
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

// playAll returns the endings by what they lead to. They are played at once, since
// some pause.
func (s situation) playAll(endings map[string][]attempt) map[string][]string {
	var mutex sync.Mutex
	var group sync.WaitGroup
	outcomes := map[string][]string{}
	for name, ending := range endings {
		group.Go(func() {
			outcome := s.play(ending)
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
