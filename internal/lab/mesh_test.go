package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/settings"
)

const testTimeout = 60 * time.Second

// startTestMesh starts a mesh and closes it when the test ends.
func startTestMesh(t *testing.T, config MeshConfig) *Mesh {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	mesh, err := StartMesh(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(mesh.Close)
	return mesh
}

// sendRequest sends one request to the first gateway and reads the complete response.
func sendRequest(ctx context.Context, mesh *Mesh, service, method, path string, header map[string]string, body io.Reader) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+mesh.Gateways[0].TrafficAddress()+path, body)
	if err != nil {
		return nil, "", err
	}
	request.Host = service
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := testClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

var testClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// chainOf returns a call graph of depth services in which each service makes width parallel
// calls to the next one.
func chainOf(depth, width int) backend.Graph {
	graph := backend.Graph{}
	for i := range depth {
		service := backend.Service{}
		if i < depth-1 {
			stage := []backend.Call{}
			for range width {
				stage = append(stage, backend.Call{Service: fmt.Sprintf("s%d", i+1), Method: "GET", Path: "/x"})
			}
			service.Routes = []backend.Route{{Match: "* /x", Stages: [][]backend.Call{stage}}}
		}
		graph[fmt.Sprintf("s%d", i)] = service
	}
	return graph
}

// retries returns the number of retries by all processes.
func retries(mesh *Mesh) int64 {
	total := int64(0)
	for _, process := range mesh.Processes() {
		total += process.Counters.Retries.Load()
	}
	return total
}

func TestRetriesOfOneRequestAreBoundedOverTheWholeChain(t *testing.T) {
	const budget = 4
	cases := []struct {
		name         string
		depth, width int
		faults       backend.Faults
		onlyDeepest  bool // only the deepest service fails
	}{
		{"depth 21, every hop fails after execution", 21, 1, backend.Faults{FailShare: 1}, false},
		{"depth 21, every answer is lost", 21, 1, backend.Faults{CutShare: 1}, false},
		{"depth 21, the deepest service fails", 21, 1, backend.Faults{FailShare: 1}, true},
		{"fan-out 8, the leaves fail", 2, 8, backend.Faults{FailShare: 1}, true},
		{"fan-out 8, the responses of the leaves are lost", 2, 8, backend.Faults{CutShare: 1}, true},
		{"depth 3, fan-out 3, half of the calls fail", 3, 3, backend.Faults{FailShare: 0.5, CutShare: 0.2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			mesh := startTestMesh(t, MeshConfig{
				Graph: chainOf(c.depth, c.width), Backends: 1, Gateways: 1, KeepRecords: true,
				Policy: []policy.Change{{Path: "/", Key: "retry_budget", Value: fmt.Sprint(budget)}, {Path: "/", Key: "retry_ratio", Value: "1"}},
			})
			for _, node := range mesh.Nodes {
				if !c.onlyDeepest || node.Service == fmt.Sprintf("s%d", c.depth-1) {
					node.Backend.SetFaults(c.faults)
				}
			}
			const requests = 3
			for i := range requests {
				before := retries(mesh)
				tag := fmt.Sprint("request ", i)
				_, _, _ = sendRequest(t.Context(), mesh, "s0", "GET", "/x", map[string]string{backend.HeaderTag: tag}, nil)
				is.True(retries(mesh)-before <= budget) // retries counted by the processes exceed the budget
				entered := 0
				for _, node := range mesh.Nodes {
					if node.Service != "s0" {
						continue
					}
					for _, run := range node.Backend.Runs() {
						if run.Tag == tag {
							entered++
						}
					}
				}
				is.True(entered <= 1+budget) // attempts recorded by the first back end exceed the budget
			}
		})
	}
}

func TestResponsesMatchRequests(t *testing.T) {
	is := is.New(t)
	graph := chainOf(2, 1)
	mesh := startTestMesh(t, MeshConfig{Graph: graph, Backends: 2, Gateways: 1})
	const callers, requests = 32, 60
	var group sync.WaitGroup
	var mutex sync.Mutex
	broken, complete := 0, 0
	for caller := range callers {
		group.Go(func() {
			source := rand.New(rand.NewPCG(1, uint64(caller)))
			for i := range requests {
				payload := fmt.Sprintf("%d/%d/%s", caller, i, strings.Repeat("x", source.IntN(20000)))
				header := map[string]string{backend.HeaderTag: payload[:min(len(payload), 40)]}
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				var body io.Reader = strings.NewReader(payload)
				fault := source.IntN(10)
				switch fault {
				case 0:
					header[backend.HeaderBytes], header[backend.HeaderCut] = "5000", "1"
				case 1:
					header[backend.HeaderBytes], header[backend.HeaderCut], header[backend.HeaderChunks] = "5000", "1", "1"
				case 2: // the caller cancels the request
					header[backend.HeaderDelay] = "20ms"
					time.AfterFunc(time.Duration(source.IntN(20))*time.Millisecond, cancel)
				case 3:
					body = io.MultiReader(body) // chunked
				}
				response, got, err := sendRequest(ctx, mesh, "s0", "PUT", fmt.Sprintf("/echo/%d/%d", caller, i), header, body)
				cancel()
				mutex.Lock()
				if err != nil {
					broken++
				} else if response.StatusCode == http.StatusOK {
					complete++
					if fault < 2 || got != payload {
						t.Errorf("caller %d request %d got a wrong response of %d bytes", caller, i, len(got))
					}
				}
				mutex.Unlock()
				if err == nil && response.StatusCode == http.StatusOK && response.Header.Get(backend.HeaderSeenTarget) != fmt.Sprintf("/echo/%d/%d", caller, i) {
					t.Errorf("caller %d request %d got the response to %s", caller, i, response.Header.Get(backend.HeaderSeenTarget))
				}
			}
		})
	}
	group.Wait()
	is.True(complete > callers*requests/2) // at most half may fail, by the injected faults
	is.True(broken > 0)                    // injected faults must break some requests
}

func TestEditsReachAllProcessesAndDoNotRevert(t *testing.T) {
	is := is.New(t)
	mesh := startTestMesh(t, MeshConfig{Graph: chainOf(3, 1), Backends: 4, Gateways: 2, Policy: []policy.Change{{Path: "/", Key: "class", Value: "bulk"}}})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	watch := watchRevisions(mesh)
	defer watch.stop(t)
	var group sync.WaitGroup
	const operators, edits = 4, 5
	for operator := range operators {
		group.Go(func() {
			for number := range edits {
				change := policy.Change{Path: fmt.Sprintf("t/f/s%d-%d", operator, number), Key: "retry_budget", Value: "2"}
				if err := edit(ctx, mesh, change); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	is.NoErr(waitRevision(ctx, mesh, 1+operators*edits))
}

func TestEditsUnderFaultsOfTheStore(t *testing.T) {
	cases := []struct {
		name  string
		fault consul.Faults
		edits bool // whether edits succeed under the fault
	}{
		{"replies lost after the write", consul.Faults{DropResponses: 2}, true},
		{"slow", consul.Faults{Delay: 300 * time.Millisecond}, true},
		{"rate limited", consul.Faults{RatePerSecond: 10}, true},
		{"an older revision is shown", consul.Faults{StaleReads: 3}, true},
		{"down", consul.Faults{Down: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			mesh := startTestMesh(t, MeshConfig{Graph: chainOf(2, 1), Backends: 3, Gateways: 1, Policy: []policy.Change{{Path: "/", Key: "class", Value: "bulk"}}})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			watch := watchRevisions(mesh)
			defer watch.stop(t)
			mesh.Platform.SetFaults(c.fault)
			if !c.edits {
				is.True(edit(ctx, mesh, policy.Change{Path: "t", Key: "class", Value: "critical"}) != nil)
				// A process that starts while the store is down gets the policy from its peers.
				_, err := mesh.AddGateway()
				is.NoErr(err)
				is.NoErr(waitFor(ctx, "the new gateway to be ready", func() bool { return mesh.Gateways[1].Ready() }))
				is.Equal(mesh.Gateways[1].Documents.Revisions().Policy, uint64(1))
				mesh.Platform.SetFaults(consul.Faults{})
			}
			for { // the operator retries
				err := edit(ctx, mesh, policy.Change{Path: "t", Key: "class", Value: "critical"})
				if err == nil {
					break
				}
				is.NoErr(ctx.Err())
			}
			is.NoErr(waitRevision(ctx, mesh, 2))
		})
	}
}

// edit makes one edit of the policy tree.
func edit(ctx context.Context, mesh *Mesh, changes ...policy.Change) error {
	_, err := editor.New(mesh.Store, "lab").Apply(ctx, changes)
	return err
}

// waitRevision waits until all processes have the policy revision.
func waitRevision(ctx context.Context, mesh *Mesh, revision uint64) error {
	return waitFor(ctx, fmt.Sprintf("policy revision %d at all processes", revision), func() bool {
		for _, process := range mesh.Processes() {
			if process.Documents.Revisions().Policy < revision {
				return false
			}
		}
		return true
	})
}

// revisionWatch polls the policy revisions of all processes and fails if one decreases.
type revisionWatch struct {
	done   chan struct{}
	failed chan string
}

func watchRevisions(mesh *Mesh) *revisionWatch {
	w := &revisionWatch{done: make(chan struct{}), failed: make(chan string, 1)}
	go func() {
		defer close(w.failed)
		highest := map[string]uint64{}
		for {
			for _, process := range mesh.Processes() {
				revision := process.Documents.Revisions().Policy
				if revision < highest[process.ID] {
					w.failed <- fmt.Sprintf("policy revision of %s went back from %d to %d", process.ID, highest[process.ID], revision)
					return
				}
				highest[process.ID] = revision
			}
			select {
			case <-w.done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return w
}

func (w *revisionWatch) stop(t *testing.T) {
	close(w.done)
	for message := range w.failed {
		t.Error(message)
	}
}

// TestLowerClassesAreRefusedFirst guards against refused critical requests while bulk
// requests overload the back end.
func TestLowerClassesAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	graph := backend.Graph{"s0": {Slots: 4, Queue: 1000, Routes: []backend.Route{{Match: "* /**", Work: 5 * time.Millisecond}}}}
	mesh := startTestMesh(t, MeshConfig{Graph: graph, Backends: 1, Gateways: 1, Policy: []policy.Change{
		{Path: "t/f/s0 * /bulk", Key: "class", Value: "bulk"},
		{Path: "t/f/s0 * /pay", Key: "class", Value: "critical"},
		{Path: "/", Key: "concurrency_max", Value: "8"},
	}})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	flood, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	refused := make(chan struct{}, 100000)
	for range 64 {
		group.Go(func() {
			for flood.Err() == nil {
				response, _, err := sendRequest(flood, mesh, "s0", "GET", "/bulk", nil, nil)
				if err == nil && response.StatusCode == http.StatusServiceUnavailable {
					refused <- struct{}{}
				}
			}
		})
	}
	is.NoErr(waitFor(ctx, "bulk requests to be refused", func() bool { return len(refused) > 100 }))
	for range 50 {
		response, _, err := sendRequest(ctx, mesh, "s0", "GET", "/pay", nil, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	stop()
	group.Wait()
}

func TestGracefulStopFailsNoRequest(t *testing.T) {
	is := is.New(t)
	mesh := startTestMesh(t, MeshConfig{
		Graph: chainOf(2, 1), Backends: 3, Gateways: 1, Zones: []string{"z1", "z2", "z3"},
		Adjust: func(s *settings.Settings) { s.AnnounceTime = settings.Duration(500 * time.Millisecond) },
	})
	load, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	var mutex sync.Mutex
	failures := []string{}
	for range 8 {
		group.Go(func() {
			for load.Err() == nil {
				response, body, err := sendRequest(context.Background(), mesh, "s0", "POST", "/x", map[string]string{backend.HeaderDelay: "5ms"}, strings.NewReader("b"))
				if err != nil || response.StatusCode != http.StatusOK {
					mutex.Lock()
					failures = append(failures, fmt.Sprint(err, body))
					mutex.Unlock()
				}
			}
		})
	}
	for _, node := range append([]*Node{}, mesh.Nodes[:2]...) {
		replacement, err := mesh.AddNode(node.Service)
		is.NoErr(err)
		is.NoErr(waitFor(t.Context(), "the replacement to be ready", replacement.Process.Ready))
		node.Stop()
	}
	stop()
	group.Wait()
	is.Equal(failures, []string{})
}

// TestResponseMayOutlastAttemptTimeout guards against cutting off slow responses: the
// attempt timeout applies only until the response begins.
func TestResponseMayOutlastAttemptTimeout(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			mesh := startTestMesh(t, MeshConfig{Graph: chainOf(1, 1), Backends: 2, Gateways: 1})
			response, body, err := sendRequest(t.Context(), mesh, "s0", method, "/x", map[string]string{backend.HeaderBytes: "1000", backend.HeaderPause: "2500ms"}, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(len(body), 1000)
		})
	}
}
