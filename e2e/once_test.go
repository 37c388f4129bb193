package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// paymentGraph has one service that may not be repeated, and one whose back end
// passes on the refusal of a service that has no nodes.
var paymentGraph = backend.Graph{
	"pay": {},
	"careless": {Routes: []backend.Route{
		{Match: "POST /x", Stages: [][]backend.Call{{{Service: "missing", Method: "POST", Path: "/x"}}}},
	}},
}

// paymentCluster is three nodes of one service in three zones, and two gateways.
func paymentCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, paymentGraph)
	c.settings(fastSettings)
	for range 3 {
		c.addNode("pay")
	}
	c.addGateway()
	c.addGateway()
	c.ready()
	return c
}

// payment is a request that may not be repeated.
func payment(gateway *member, key, delay string) call {
	return call{gateway: gateway, service: "pay", method: "POST", path: "/charges", body: strings.NewReader("12 EUR"), header: map[string]string{
		wire.HeaderIdempotencyKey: key, backend.HeaderTag: key, backend.HeaderDelay: delay,
	}}
}

// runner returns the node whose back end is running the request with the tag.
func (c *cluster) runner(tag string) *member {
	c.t.Helper()
	var found *member
	eventually(c.t, "the request to run", func() bool {
		for _, m := range c.nodes {
			for _, run := range m.backend.Runs() {
				if run.Tag == tag {
					found = m
					return true
				}
			}
		}
		return false
	})
	return found
}

// repeat asks again for a payment and checks that the answer is either the one
// of the first run, or says that the outcome is unknown, or that it was refused
// for now without having run a second time.
func repeat(t *testing.T, c *cluster, key string) answered {
	t.Helper()
	is := is.New(t)
	got, err := payment(c.gateways[1], key, "").do()
	is.NoErr(err)
	switch got.header.Get(result.HeaderCode) {
	case "":
		is.Equal(got.status, 200)
		is.Equal(got.body, "12 EUR")
	case fmt.Sprint(int(result.AlreadyClaimed)):
		is.Equal(got.header.Get(result.HeaderOutcome), result.OutcomeUnknown)
	default:
		t.Errorf("unexpected answer %d %s", got.status, got.body)
	}
	is.Equal(c.countRuns(key), 1)
	return got
}

func TestARequestThatMayNotBeRepeatedRunsAtMostOnce(t *testing.T) {
	c := paymentCluster(t)

	t.Run("the same key twice", func(t *testing.T) {
		is := is.New(t)
		_, err := payment(c.gateways[0], "twice", "").do()
		is.NoErr(err)
		is.Equal(repeat(t, c, "twice").status, 200)
	})

	t.Run("many at once through two gateways", func(t *testing.T) {
		is := is.New(t)
		var group sync.WaitGroup
		answers := make(chan answered, 20)
		for i := range 20 {
			group.Go(func() {
				got, err := payment(c.gateways[i%2], "at once", "50ms").do()
				if err == nil {
					answers <- got
				}
			})
		}
		group.Wait()
		close(answers)
		is.Equal(c.countRuns("at once"), 1)
		for got := range answers {
			is.Equal(got.status, 200) // all wait for the one run
			is.Equal(got.body, "12 EUR")
		}
	})

	t.Run("again after the caller gave up", func(t *testing.T) {
		is := is.New(t)
		first := payment(c.gateways[0], "gave up", "600ms")
		first.timeout = 200 * time.Millisecond
		_, err := first.do()
		is.True(err != nil)
		is.Equal(repeat(t, c, "gave up").status, 200) // it went on without the caller
	})

	t.Run("the same key with another body", func(t *testing.T) {
		is := is.New(t)
		other := payment(c.gateways[0], "twice", "")
		other.body = strings.NewReader("99 EUR")
		got, err := other.do()
		is.NoErr(err)
		is.Equal(got.status, 422)
		is.Equal(got.header.Get(result.HeaderOutcome), result.OutcomeNotRun)
		is.Equal(c.countRuns("twice"), 1)
	})

	t.Run("the same key with other credentials is another request", func(t *testing.T) {
		is := is.New(t)
		other := payment(c.gateways[0], "twice", "")
		other.header["Authorization"] = "Bearer other"
		other.header[backend.HeaderTag] = "twice, other"
		got, err := other.do()
		is.NoErr(err)
		is.Equal(got.status, 200)
		is.Equal(c.countRuns("twice, other"), 1)
	})

	t.Run("a key is minted and told", func(t *testing.T) {
		is := is.New(t)
		request := payment(c.gateways[0], "", "")
		request.header = map[string]string{backend.HeaderTag: "minted"}
		got, err := request.do()
		is.NoErr(err)
		key := got.header.Get(wire.HeaderIdempotencyKey)
		is.True(key != "")
		again := payment(c.gateways[1], key, "")
		again.header[backend.HeaderTag] = "minted"
		got, err = again.do()
		is.NoErr(err)
		is.Equal(got.status, 200)
		is.Equal(c.countRuns("minted"), 1)
	})

	t.Run("while the store is down", func(t *testing.T) {
		is := is.New(t)
		c.platform.SetFaults(consul.Faults{Down: true})
		defer c.platform.SetFaults(consul.Faults{})
		got, err := payment(c.gateways[0], "store down", "").do()
		is.NoErr(err)
		is.Equal(got.status, 200)
		is.Equal(repeat(t, c, "store down").status, 200)
	})
}

func TestAtMostOnceWhenTheRunnerFails(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster, runner *member)
		after func(c *cluster, runner *member, t *testing.T)
	}{
		{"killed", func(_ *cluster, runner *member) { runner.kill() }, nil},
		{"killed and replaced by an empty one", func(c *cluster, runner *member) {
			runner.kill()
			c.launch(runner)
		}, nil},
		{"frozen and woken", func(_ *cluster, runner *member) { runner.signal(syscall.SIGSTOP) },
			func(c *cluster, runner *member, t *testing.T) {
				runner.signal(syscall.SIGCONT)
				c.ready()
				repeat(t, c, "fault")
			}},
	}
	for _, fault := range cases {
		t.Run(fault.name, func(t *testing.T) {
			c := paymentCluster(t)
			done := make(chan answered, 1)
			go func() {
				got, _ := payment(c.gateways[0], "fault", "1500ms").do()
				done <- got
			}()
			runner := c.runner("fault")
			fault.fault(c, runner)
			for range 5 {
				repeat(t, c, "fault")
			}
			if fault.after != nil {
				fault.after(c, runner, t)
			}
			first := <-done
			is := is.New(t)
			is.True(first.header.Get(result.HeaderOutcome) != result.OutcomeNotRun) // it did run
			is.Equal(c.countRuns("fault"), 1)
		})
	}
}

func TestARefusalPassedOnByABackEndIsNotNotRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, paymentGraph)
	c.settings(fastSettings)
	c.addNode("careless")
	c.addNode("careless")
	gateway := c.addGateway()
	c.ready()
	got, err := call{gateway: gateway, service: "careless", method: "POST", path: "/x", header: map[string]string{backend.HeaderTag: "ran"}}.do()
	is.NoErr(err)
	is.True(got.status >= 400)
	is.Equal(got.header.Get(result.HeaderOutcome), "") // the back end's claim was removed
	is.Equal(c.countRuns("ran"), 1)
}
