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

// loadOf sends requests through the gateways until it is stopped, and collects
// what was not answered as promised: a failure, or an outcome that is unknown.
type loadOf struct {
	group    sync.WaitGroup
	done     chan struct{}
	mutex    sync.Mutex
	answers  int
	refused  int
	problems []string
}

func startLoad(gateways func() []*member, callers int) *loadOf {
	l := &loadOf{done: make(chan struct{})}
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
				l.note(got, err)
			}
		})
	}
	return l
}

func (l *loadOf) note(got answered, err error) {
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

func (l *loadOf) stop() {
	close(l.done)
	l.group.Wait()
}

// TestRollingReplacementUnderLoad replaces every node, back end and gateway,
// one after the other, while requests flow that may not be repeated. The machine
// list lags by an hour and the store is slow, or down all the time.
func TestRollingReplacementUnderLoad(t *testing.T) {
	cases := []struct {
		name   string
		faults consul.Faults
	}{
		{"the store is slow", consul.Faults{MachineLag: time.Hour, Delay: 100 * time.Millisecond}},
		{"the store is down", consul.Faults{MachineLag: time.Hour, Down: true}},
	}
	for _, rolling := range cases {
		t.Run(rolling.name, func(t *testing.T) { rollUnderLoad(t, rolling.faults) })
	}
}

func rollUnderLoad(t *testing.T, faults consul.Faults) {
	is := is.New(t)
	c := newCluster(t, twoServiceGraph)
	c.settings(fastSettings)
	for range 3 {
		c.addNode("front")
		c.addNode("back")
	}
	c.addGateway()
	c.addGateway()
	c.ready()
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
		c.ready()
		old.terminate()
		old.backend.terminate()
		c.remove(old)
	}
	for _, old := range append([]*member{}, c.gateways...) {
		replacement := c.addGateway()
		c.ready()
		mutex.Lock()
		current = append(current, replacement)
		for i, gateway := range current {
			if gateway == old { // as a caller that follows the readiness probe
				current = append(current[:i], current[i+1:]...)
				break
			}
		}
		mutex.Unlock()
		time.Sleep(300 * time.Millisecond) // requests on their way to the old one
		old.terminate()
		c.remove(old)
	}
	load.stop()
	t.Logf("%d answers, %d refusals as not run", load.answers, load.refused)
	is.Equal(load.problems, nil)
	is.True(load.answers > 100)
	is.True(load.refused < load.answers/20) // refusals are allowed, but not the rule
	for _, m := range c.nodes {
		is.True(!strings.Contains(m.log.String(), "request-panic"))
	}
	c.platform.SetFaults(consul.Faults{})
	got, err := call{gateway: c.gateways[0], service: "front", method: "POST", path: "/x", body: strings.NewReader("b")}.do()
	is.NoErr(err)
	is.Equal(got.status, 200)
}

// TestALeavingBackEndGetsNoNewWork lets a back end announce that it drains, or
// end without a word, and checks where requests go then.
func TestALeavingBackEndGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name  string
		leave func(c *cluster, leaving *member)
	}{
		{"the health path says draining", func(_ *cluster, leaving *member) { leaving.backend.SetFaults(backend.Faults{Draining: true}) }},
		{"the back end refuses connections", func(_ *cluster, leaving *member) { leaving.backend.terminate() }},
		{"the node is told to stop", func(_ *cluster, leaving *member) { leaving.signal(syscall.SIGTERM) }},
		{"the machine list says leaving", func(c *cluster, leaving *member) {
			c.platform.Register(machineRow(leaving, "leaving"))
		}},
	}
	for _, leaving := range cases {
		t.Run(leaving.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, twoServiceGraph)
			c.settings(fastSettings + "backend_health_path: " + backend.HealthPath + "\n")
			first, second := c.addNode("back"), c.addNode("back")
			gateway := c.addGateway()
			c.file = "" // the gateway's settings have no health path
			c.ready()
			leaving.leave(c, first)
			eventually(t, "the gateway to know", func() bool {
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

func machineRow(m *member, state string) consulkv.CatalogRow {
	row := catalogRow(m)
	row.ServiceMeta[consulkv.MetaState] = state
	return row
}

// TestALongRequestSurvivesTheStopOfItsProcesses stops the node and the gateway
// of a request that takes longer than the announce time.
func TestALongRequestSurvivesTheStopOfItsProcesses(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, twoServiceGraph)
	c.settings(fastSettings)
	node := c.addNode("back")
	gateway := c.addGateway()
	c.ready()
	done := make(chan answered, 1)
	go func() {
		got, err := call{gateway: gateway, service: "back", method: "POST", path: "/long", header: map[string]string{
			backend.HeaderTag: "long", backend.HeaderDelay: "2s", backend.HeaderBytes: "100000"}}.do()
		if err == nil {
			done <- got
		}
		close(done)
	}()
	c.runner("long")
	node.signal(syscall.SIGTERM)
	gateway.signal(syscall.SIGTERM)
	go node.backend.terminate()
	got := <-done
	is.Equal(got.status, 200)
	is.Equal(len(got.body), 100000)
	node.terminate()
	gateway.terminate()
}

// TestAProcessThatStartsDuringAnOutage learns the policy from its peers, and a
// process that starts alone waits for the store.
func TestAProcessThatStartsDuringAnOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, twoServiceGraph)
	c.settings(fastSettings)
	c.addNode("back")
	c.addGateway()
	c.ready()
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
	late := c.addGateway()
	eventually(t, "the late gateway to learn the policy from its peers", has(late))
	restarted := c.gateways[0]
	restarted.kill()
	c.launch(restarted)
	eventually(t, "the restarted gateway to learn the policy from its peers", has(restarted))

	alone := newCluster(t, twoServiceGraph)
	alone.settings(fastSettings + "seeds: [127.0.0.1:1]\n")
	alone.platform.SetFaults(consul.Faults{Down: true})
	gateway := alone.addGateway()
	eventually(t, "the process to say that the store does not answer", func() bool {
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
