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

// paymentGraph has a service whose requests may not be repeated, and one whose back end
// forwards the refusal of a service without nodes.
var paymentGraph = backend.Graph{
	"pay": {},
	"careless": {Routes: []backend.Route{
		{Match: "POST /x", Stages: [][]backend.Call{{{Service: "missing", Method: "POST", Path: "/x"}}}},
	}},
}

// paymentCluster starts three nodes of one service in three zones and two gateways.
func paymentCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, paymentGraph)
	c.writeSettings(fastSettings)
	for range 3 {
		c.addNode("pay")
	}
	c.addGateway()
	c.addGateway()
	c.waitReady()
	return c
}

// payment returns a request that may not be repeated. key is also its tag.
func payment(gateway *member, key, delay string) call {
	return call{gateway: gateway, service: "pay", method: "POST", path: "/charges", body: strings.NewReader("12 EUR"), header: map[string]string{
		wire.HeaderIdempotencyKey: key, backend.HeaderTag: key, backend.HeaderDelay: delay,
	}}
}

// waitForRun waits until a back end executes the request with the tag, and returns its node.
func (c *cluster) waitForRun(tag string) *member {
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

// retryPayment sends a payment again and checks that it did not run a second time. The
// answer must be that of the first run or an AlreadyClaimed refusal with an unknown outcome.
func retryPayment(t *testing.T, c *cluster, key string) answer {
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
		is.Equal(retryPayment(t, c, "twice").status, 200)
	})

	t.Run("many at once through two gateways", func(t *testing.T) {
		is := is.New(t)
		var group sync.WaitGroup
		answers := make(chan answer, 20)
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
			is.Equal(got.status, 200) // all get the answer of the one run
			is.Equal(got.body, "12 EUR")
		}
	})

	t.Run("again after the caller gave up", func(t *testing.T) {
		is := is.New(t)
		first := payment(c.gateways[0], "gave up", "600ms")
		first.timeout = 200 * time.Millisecond
		_, err := first.do()
		is.True(err != nil)
		is.Equal(retryPayment(t, c, "gave up").status, 200) // it completed without the caller
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

	t.Run("a generated key is returned", func(t *testing.T) {
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
		is.Equal(retryPayment(t, c, "store down").status, 200)
	})
}

// TestAtMostOnceWhenNodeFails checks that retries do not run a request a second time after
// the node that ran it is killed, restarted or suspended.
func TestAtMostOnceWhenNodeFails(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster, node *member)
		after func(c *cluster, node *member, t *testing.T)
	}{
		{"killed", func(_ *cluster, node *member) { node.kill() }, nil},
		{"killed and replaced by an empty one", func(c *cluster, node *member) {
			node.kill()
			c.launch(node)
		}, nil},
		{"frozen and woken", func(_ *cluster, node *member) { node.signal(syscall.SIGSTOP) },
			func(c *cluster, node *member, t *testing.T) {
				node.signal(syscall.SIGCONT)
				c.waitReady()
				retryPayment(t, c, "fault")
			}},
	}
	for _, fault := range cases {
		t.Run(fault.name, func(t *testing.T) {
			c := paymentCluster(t)
			done := make(chan answer, 1)
			go func() {
				got, _ := payment(c.gateways[0], "fault", "1500ms").do()
				done <- got
			}()
			node := c.waitForRun("fault")
			fault.fault(c, node)
			for range 5 {
				retryPayment(t, c, "fault")
			}
			if fault.after != nil {
				fault.after(c, node, t)
			}
			first := <-done
			is := is.New(t)
			is.True(first.header.Get(result.HeaderOutcome) != result.OutcomeNotRun) // it ran
			is.Equal(c.countRuns("fault"), 1)
		})
	}
}

// TestForwardedRefusalIsNotReportedAsNotRun guards against reporting a request as not run
// because its back end forwarded the refusal of a call that was not run.
func TestForwardedRefusalIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, paymentGraph)
	c.writeSettings(fastSettings)
	c.addNode("careless")
	c.addNode("careless")
	gateway := c.addGateway()
	c.waitReady()
	got, err := call{gateway: gateway, service: "careless", method: "POST", path: "/x", header: map[string]string{backend.HeaderTag: "ran"}}.do()
	is.NoErr(err)
	is.True(got.status >= 400)
	is.Equal(got.header.Get(result.HeaderOutcome), "") // the outcome set by the back end is removed
	is.Equal(c.countRuns("ran"), 1)
}
