package lab

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/wire"
)

// pay sends a payment, which must run at most once. key is its idempotency key.
func pay(ctx context.Context, mesh *Mesh, key, delay string) (*http.Response, string, error) {
	header := map[string]string{wire.HeaderIdempotencyKey: key, backend.HeaderTag: key, backend.HeaderDelay: delay}
	return sendRequest(ctx, mesh, "s0", "POST", "/charges", header, strings.NewReader("12 EUR"))
}

// runsOf returns the nodes whose back ends ran a request with the tag, one entry per run.
func runsOf(mesh *Mesh, tag string) []*Node {
	found := []*Node{}
	for _, node := range mesh.Nodes {
		for _, run := range node.Backend.Runs() {
			if run.Tag == tag {
				found = append(found, node)
			}
		}
	}
	return found
}

// TestAtMostOnceAcrossPartition guards against a second execution of a payment that is
// retried while the executing node is isolated, and after the partition has healed.
func TestAtMostOnceAcrossPartition(t *testing.T) {
	is := is.New(t)
	network := &partition{}
	mesh := startTestMesh(t, MeshConfig{Graph: chainOf(1, 1), Dial: network.dialFunc, Backends: 4, Gateways: 1, Zones: []string{"z1", "z2", "z3"}, KeepRecords: true})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	first := make(chan struct{})
	go func() {
		defer close(first)
		response, _, err := pay(ctx, mesh, "cut", "800ms")
		if err == nil && response.Header.Get(result.HeaderOutcome) == result.OutcomeNotRun {
			t.Error("a payment that ran was reported as not run")
		}
	}()
	is.NoErr(waitFor(ctx, "the payment to run", func() bool { return len(runsOf(mesh, "cut")) > 0 }))
	runner := runsOf(mesh, "cut")[0]
	network.isolate(mesh, runner.Process)
	for range 5 {
		response, _, err := pay(ctx, mesh, "cut", "")
		is.NoErr(err)
		known := response.StatusCode == http.StatusOK || response.Header.Get(result.HeaderOutcome) == result.OutcomeUnknown
		is.True(known) // must be the response or outcome unknown, not "not run"
		is.Equal(len(runsOf(mesh, "cut")), 1)
	}
	<-first
	network.heal()
	is.NoErr(waitFor(ctx, "the response of the first execution", func() bool {
		response, body, err := pay(ctx, mesh, "cut", "")
		return err == nil && response.StatusCode == http.StatusOK && body == "12 EUR"
	}))
	is.Equal(len(runsOf(mesh, "cut")), 1)
}

// TestMinorityDoesNotExecute isolates a node and a gateway. It guards against payments that
// are reported as not run but were executed, and against a majority that stops serving.
func TestMinorityDoesNotExecute(t *testing.T) {
	is := is.New(t)
	network := &partition{}
	mesh := startTestMesh(t, MeshConfig{Graph: chainOf(1, 1), Dial: network.dialFunc, Backends: 5, Gateways: 2, Zones: []string{"z1", "z2", "z3"}, KeepRecords: true})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	network.isolate(mesh, mesh.Nodes[0].Process, mesh.Gateways[0])
	refusedAsNotRun := func(key string) bool {
		response, _, err := pay(ctx, mesh, key, "")
		is.NoErr(err)
		ran := len(runsOf(mesh, key))
		if response.Header.Get(result.HeaderOutcome) == result.OutcomeNotRun {
			is.Equal(ran, 0) // reported as not run, but executed
			return true
		}
		is.True(ran <= 1)
		return false
	}
	refused := 0
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		if refusedAsNotRun(key) {
			refused++
		}
	}
	is.True(refused > 0)
	mesh.Gateways[0], mesh.Gateways[1] = mesh.Gateways[1], mesh.Gateways[0]
	is.NoErr(waitFor(ctx, "a payment on the majority side", func() bool {
		response, _, err := pay(ctx, mesh, "majority "+time.Now().String(), "")
		return err == nil && response.StatusCode == http.StatusOK
	}))
}

// TestReplicaSlotsAreHandedOver replaces every node twice while the store is down. It
// guards against payments that fail because a stopped process held the replica slot of
// another one.
func TestReplicaSlotsAreHandedOver(t *testing.T) {
	is := is.New(t)
	mesh := startTestMesh(t, MeshConfig{Graph: chainOf(1, 1), Backends: 3, Gateways: 1, KeepRecords: true})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	mesh.Platform.SetFaults(consul.Faults{Down: true})
	for round := range 7 {
		replacement, err := mesh.AddNode("s0")
		is.NoErr(err)
		is.NoErr(waitFor(ctx, "the replacement to be ready", func() bool {
			return replacement.Process.Ready() && replacement.Process.Documents.Revisions().Groups > 0
		}))
		mesh.Nodes[round].Stop()
		for payment := range 8 {
			key := fmt.Sprint("round ", round, " payment ", payment)
			is.NoErr(waitFor(ctx, key, func() bool { // a payment that is refused as not run may be retried
				response, _, err := pay(ctx, mesh, key, "")
				return err == nil && response.StatusCode == http.StatusOK
			}))
		}
	}
}
