package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
)

// restartAll kills nodes at once and starts them again.
func restartAll(nodes ...*platformNode) {
	for _, node := range nodes {
		node.kill()
	}
	for _, node := range nodes {
		node.restart()
	}
}

// awaitReadiness waits until the processes of nodes are ready.
func awaitReadiness(t *testing.T, nodes ...*platformNode) {
	t.Helper()
	for _, node := range nodes {
		eventually(t, "readiness", func() bool { return node.probeReadiness() == http.StatusOK })
	}
}

// awaitAcknowledged announces that a back end leaves until that is acknowledged.
func awaitAcknowledged(t *testing.T, announce func() int) {
	t.Helper()
	eventually(t, "the acknowledgement", func() bool { return announce() == http.StatusOK })
}

// leavings are the ways in which a back end announces that it leaves.
var leavings = map[string]func(node *platformNode, born int64) int{
	"announced stop": func(node *platformNode, born int64) int { return node.deregister(born) },
	"heartbeat":      func(node *platformNode, born int64) int { return node.heartbeatOf(born, 101, "draining") },
}

// startNodeAndEntry starts a node beside a back end that has sent heartbeat 100, an entry to it, and their store. born
// is when the back end started.
func startNodeAndEntry(t *testing.T) (node, entry *platformNode, stub *metastore.Server, born int64) {
	t.Helper()
	backEnds, stub := startDeclaringBackEndsOn(t, 1)
	node, entry = backEnds[0].node, startEntry(t, backEnds[0])
	born = time.Now().UnixMilli()
	is.New(t).Equal(node.heartbeatOf(born, 100, "ready"), http.StatusOK)
	return node, entry, stub, born
}

// checkClosed checks that no request reaches the back end of a node.
func checkClosed(t *testing.T, node, entry *platformNode) {
	t.Helper()
	is := is.New(t)
	before := node.runs.Load()
	for range 20 {
		is.Equal(entry.get("/front/x", "").status, http.StatusServiceUnavailable)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(node.runs.Load(), before)
}

// TestAcknowledgedLeavingOutlivesAllProcesses guards against requests to a back end whose leaving was
// acknowledged, since all processes ended right after that and a heartbeat from before is late.
func TestAcknowledgedLeavingOutlivesAllProcesses(t *testing.T) {
	for name, leave := range leavings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node, entry, _, born := startNodeAndEntry(t)
			awaitAcknowledged(t, func() int { return leave(node, born) })
			restartAll(node, entry)
			awaitReadiness(t, node, entry)
			is.Equal(node.heartbeatOf(born, 99, "ready"), http.StatusOK) // late
			checkClosed(t, node, entry)
			is.Equal(node.heartbeatOf(born+5000, 1, "ready"), http.StatusOK) // the next start
			entry.getUntilServed(t, "/front/x", "")
		})
	}
}

// TestAcknowledgedLeavingOutlivesItsProcess guards against requests to a back end whose leaving was
// acknowledged by a process that ended before it could tell its peers.
func TestAcknowledgedLeavingOutlivesItsProcess(t *testing.T) {
	for name, leave := range leavings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node, entry, _, born := startNodeAndEntry(t)
			awaitAcknowledged(t, func() int { return leave(node, born) })
			restartAll(node)
			awaitReadiness(t, node)
			is.Equal(node.heartbeatOf(born, 99, "ready"), http.StatusOK) // late
			checkClosed(t, node, entry)
		})
	}
}

// TestLeavingWhileStoreIsAway guards against an acknowledgement that nothing outlives, against one that is
// never given, and against a back end that is used since its leaving could not be acknowledged.
func TestLeavingWhileStoreIsAway(t *testing.T) {
	for name, leave := range leavings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node, entry, stub, born := startNodeAndEntry(t)
			stub.SetFaults(metastore.Faults{Down: true})
			is.Equal(leave(node, born), http.StatusServiceUnavailable)
			time.Sleep(drainTime)
			checkClosed(t, node, entry)
			stub.SetFaults(metastore.Faults{})
			awaitAcknowledged(t, func() int { return leave(node, born) })
			is.True(strings.Contains(node.log.String(), "leaving-not-stored"))
		})
	}
}

// TestRestartWhileStoreIsAway guards against a back end that gets no requests for as long as the store is away,
// although peers know that it has not left.
func TestRestartWhileStoreIsAway(t *testing.T) {
	is := is.New(t)
	node, entry, stub, born := startNodeAndEntry(t)
	entry.getUntilServed(t, "/front/x", "")
	stub.SetFaults(metastore.Faults{Down: true})
	restartAll(node)
	awaitReadiness(t, node) // the policy comes from its peer
	is.Equal(node.heartbeatOf(born, 101, "ready"), http.StatusOK)
	entry.getUntilServed(t, "/front/x", "")
	is.True(strings.Contains(node.log.String(), "recalled-from-peers"))
}

// TestRecallBeforePolicyOfPeer guards against requests to a back end whose leaving was acknowledged, when all
// processes have ended and the store comes back for another process first, from which the policy is learned.
func TestRecallBeforePolicyOfPeer(t *testing.T) {
	is := is.New(t)
	node, entry, stub, born := startNodeAndEntry(t)
	awaitAcknowledged(t, func() int { return node.deregister(born) })
	node.kill()
	restartAll(entry)
	awaitReadiness(t, entry)
	stub.SetFaults(metastore.Faults{Down: true})
	node.restart()
	awaitReadiness(t, node)
	is.Equal(node.heartbeatOf(born, 99, "ready"), http.StatusOK) // late
	checkClosed(t, node, entry)
	time.Sleep(2 * time.Second)
	checkClosed(t, node, entry)
	stub.SetFaults(metastore.Faults{})
	eventually(t, "the leaving to be recalled", func() bool { return strings.Contains(node.log.String(), "leaving-recalled") })
	checkClosed(t, node, entry)
}
