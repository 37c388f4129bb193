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
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store/consulkv"
)

var twoServiceGraph = backend.Graph{
	"front": {Routes: []backend.Route{
		{Match: "* /x", Work: 2 * time.Millisecond, Stages: [][]backend.Call{{{Service: "back", Method: "POST", Path: "/x"}}}},
	}},
	"back": {Routes: []backend.Route{{Match: "* /x", Work: 5 * time.Millisecond}}},
}

// loadGenerator sends requests through the gateways until it is stopped. problems lists
// the requests that were neither answered nor refused as not run.
type loadGenerator struct {
	group    sync.WaitGroup
	done     chan struct{}
	mutex    sync.Mutex
	answers  int
	refused  int
	problems []string
}

func startLoad(gateways func() []*member, callers int) *loadGenerator {
	l := &loadGenerator{done: make(chan struct{})}
	for caller := range callers {
		l.group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.done:
					return
				default:
				}
				list := gateways()
				got, err := call{gateway: list[(caller+i)%len(list)], service: "front", method: "POST", path: "/x", body: strings.NewReader("b")}.do()
				l.record(got, err)
			}
		})
	}
	return l
}

func (l *loadGenerator) record(got answer, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case err != nil:
		l.problems = append(l.problems, err.Error())
	case got.status == 200:
		l.answers++
	case got.header.Get(result.HeaderOutcome) == result.OutcomeNotRun:
		l.refused++
	default:
		l.problems = append(l.problems, fmt.Sprint(got.status, got.body))
	}
}

func (l *loadGenerator) stop() {
	close(l.done)
	l.group.Wait()
}

// TestRollingReplacementUnderLoad replaces all nodes with their back ends, and all gateways,
// one at a time under a load of requests that may not be repeated. The machine list lags by
// an hour, and the store is slow or down.
func TestRollingReplacementUnderLoad(t *testing.T) {
	cases := []struct {
		name   string
		faults consul.Faults
	}{
		{"the store is slow", consul.Faults{MachineListLag: time.Hour, Delay: 100 * time.Millisecond}},
		{"the store is down", consul.Faults{MachineListLag: time.Hour, Down: true}},
	}
	for _, rolling := range cases {
		t.Run(rolling.name, func(t *testing.T) { replaceUnderLoad(t, rolling.faults) })
	}
}

func replaceUnderLoad(t *testing.T, faults consul.Faults) {
	is := is.New(t)
	c := newCluster(t, twoServiceGraph)
	c.writeSettings(fastSettings)
	for range 3 {
		c.addNode("front")
		c.addNode("back")
	}
	c.addGateway()
	c.addGateway()
	c.waitReady()
	c.platform.SetFaults(faults)
	var mutex sync.Mutex
	current := append([]*member{}, c.gateways...)
	load := startLoad(func() []*member {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]*member{}, current...)
	}, 8)
	for _, old := range append([]*member{}, c.nodes...) {
		c.addNode(old.service)
		c.waitReady()
		old.terminate()
		old.backend.terminate()
		c.remove(old)
	}
	for _, old := range append([]*member{}, c.gateways...) {
		replacement := c.addGateway()
		c.waitReady()
		mutex.Lock()
		current = append(current, replacement)
		for i, gateway := range current {
			if gateway == old { // callers follow the readiness probe
				current = append(current[:i], current[i+1:]...)
				break
			}
		}
		mutex.Unlock()
		time.Sleep(300 * time.Millisecond) // for requests that callers are sending to the old gateway
		old.terminate()
		c.remove(old)
	}
	load.stop()
	t.Logf("%d answers, %d refusals as not run", load.answers, load.refused)
	is.Equal(load.problems, nil)
	is.True(load.answers > 100)
	is.True(load.refused < load.answers/20) // less than 5% as many refusals as answers
	for _, m := range c.nodes {
		is.True(!strings.Contains(m.log.String(), "request-panic"))
	}
	c.platform.SetFaults(consul.Faults{})
	got, err := call{gateway: c.gateways[0], service: "front", method: "POST", path: "/x", body: strings.NewReader("b")}.do()
	is.NoErr(err)
	is.Equal(got.status, 200)
}

// TestLeavingBackEndGetsNoNewRequests checks that requests go to the other back end once one
// drains or stops.
func TestLeavingBackEndGetsNoNewRequests(t *testing.T) {
	cases := []struct {
		name  string
		leave func(c *cluster, leaving *member)
	}{
		{"the health path reports draining", func(_ *cluster, leaving *member) { leaving.backend.SetFaults(backend.Faults{Draining: true}) }},
		{"the back end refuses connections", func(_ *cluster, leaving *member) { leaving.backend.terminate() }},
		{"the node gets SIGTERM", func(_ *cluster, leaving *member) { leaving.signal(syscall.SIGTERM) }},
		{"the machine list reports leaving", func(c *cluster, leaving *member) {
			c.platform.Register(catalogRowWithState(leaving, "leaving"))
		}},
	}
	for _, leaving := range cases {
		t.Run(leaving.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, twoServiceGraph)
			c.writeSettings(fastSettings + "backend_health_path: " + backend.HealthPath + "\n")
			first, second := c.addNode("back"), c.addNode("back")
			gateway := c.addGateway()
			c.waitReady()
			leaving.leave(c, first)
			eventually(t, "the gateway to see the node as leaving or down", func() bool {
				status, err := gateway.status()
				if err != nil {
					return false
				}
				for _, known := range status.Members {
					if known.Control == first.control {
						return known.Leaving || known.Down || known.Status != 0
					}
				}
				return true
			})
			for i := range 20 {
				got, err := call{gateway: gateway, service: "back", method: "POST", path: "/x", header: map[string]string{backend.HeaderTag: fmt.Sprint("late ", i)}}.do()
				is.NoErr(err)
				is.Equal(got.status, 200)
			}
			late := 0
			for _, run := range second.backend.Runs() {
				if strings.HasPrefix(run.Tag, "late") {
					late++
				}
			}
			is.Equal(late, 20)
		})
	}
}

// catalogRowWithState returns the row of a member in the machine list, with a state.
func catalogRowWithState(m *member, state string) consulkv.CatalogRow {
	row := catalogRow(m)
	row.ServiceMeta[consulkv.MetaState] = state
	return row
}

// TestLongRequestSurvivesGracefulStop stops the node, back end and gateway that serve a
// request. The request takes longer than the announce time.
func TestLongRequestSurvivesGracefulStop(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, twoServiceGraph)
	c.writeSettings(fastSettings)
	node := c.addNode("back")
	gateway := c.addGateway()
	c.waitReady()
	done := make(chan answer, 1)
	go func() {
		got, err := call{gateway: gateway, service: "back", method: "POST", path: "/long", header: map[string]string{
			backend.HeaderTag: "long", backend.HeaderDelay: "2s", backend.HeaderBytes: "100000"}}.do()
		if err == nil {
			done <- got
		}
		close(done)
	}()
	c.waitForRun("long")
	node.signal(syscall.SIGTERM)
	gateway.signal(syscall.SIGTERM)
	go node.backend.terminate()
	got := <-done
	is.Equal(got.status, 200)
	is.Equal(len(got.body), 100000)
	node.terminate()
	gateway.terminate()
}

// TestStartDuringStoreOutage checks that a process gets the policy from its peers if it
// starts while the store is down, and that a process without peers waits for the store.
func TestStartDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, twoServiceGraph)
	c.writeSettings(fastSettings)
	c.addNode("back")
	c.addGateway()
	c.waitReady()
	store := consulkv.NewClient(consulkv.Config{BaseURL: c.url})
	_, err := editor.New(store, "test").Apply(t.Context(), []policy.Change{{Path: "t/f/back", Key: "class", Value: "critical"}})
	is.NoErr(err)
	has := func(m *member) func() bool {
		return func() bool {
			status, err := m.status()
			return err == nil && status.Ready && status.Revisions.Policy == 1
		}
	}
	eventually(t, "the edit to be in force", has(c.gateways[0]))
	c.platform.SetFaults(consul.Faults{Down: true})
	added := c.addGateway()
	eventually(t, "the new gateway to get the policy from its peers", has(added))
	restarted := c.gateways[0]
	restarted.kill()
	c.launch(restarted)
	eventually(t, "the restarted gateway to get the policy from its peers", has(restarted))

	alone := newCluster(t, twoServiceGraph)
	alone.writeSettings(fastSettings + "seeds: [127.0.0.1:1]\n")
	alone.platform.SetFaults(consul.Faults{Down: true})
	gateway := alone.addGateway()
	eventually(t, "the process to log that the store and its peer are unreachable", func() bool {
		log := gateway.log.String()
		return strings.Contains(log, "store-unreachable") && strings.Contains(log, "peer-unreachable")
	})
	got, err := call{gateway: gateway, service: "back", method: "GET", path: "/x"}.do()
	is.NoErr(err)
	is.Equal(got.header.Get(result.HeaderCode), fmt.Sprint(int(result.NotReady)))
	is.Equal(got.header.Get("Retry-After"), "1")
	alone.platform.SetFaults(consul.Faults{})
	eventually(t, "the process to be ready", func() bool {
		status, err := gateway.status()
		return err == nil && status.Ready
	})
}
