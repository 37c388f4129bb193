package e2e

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/metastore"
)

// buildWithTestClock builds the binary with a clock that a test can advance, to simulate
// the suspension of its machine, and returns its path.
func buildWithTestClock(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "loomcleat")
	build := exec.Command("go", "build", "-tags", "suspendedclock", "-o", path, "../cmd/loomcleat")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, output)
	}
	return path
}

// machineClock is the clock of the machines that a test suspends. The processes read the
// total suspended time, in nanoseconds, from the file at path.
type machineClock struct {
	t         *testing.T
	path      string
	suspended time.Duration
}

func newMachineClock(t *testing.T) *machineClock {
	c := &machineClock{t: t, path: filepath.Join(t.TempDir(), "suspended")}
	t.Setenv("LOOMCLEAT_TEST_SUSPENDED", c.path)
	return c
}

// suspend stops nodes, calls meanwhile, advances the clock by duration and resumes the nodes.
func (c *machineClock) suspend(duration time.Duration, meanwhile func(), nodes ...*platformNode) {
	c.t.Helper()
	for _, n := range nodes {
		n.signal(syscall.SIGSTOP)
	}
	meanwhile()
	c.suspended += duration
	next := c.path + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(int64(c.suspended), 10)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(next, c.path); err != nil {
		c.t.Fatal(err)
	}
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
	}
}

// TestRevokedKeyRefusedAfterSuspension guards against measuring the age of the confirmed
// policy by a clock that stops during suspension. A node would then accept a key that was
// revoked while its machine was suspended.
func TestRevokedKeyRefusedAfterSuspension(t *testing.T) {
	is := is.New(t)
	clock := newMachineClock(t)
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", tenantsConfiguration(3, allTenants))
	program := buildWithTestClock(t)
	front := newPlatformNode(t, "front")
	front.binary = program
	backend := httptest.NewServer(http.HandlerFunc(front.serveBackEnd))
	t.Cleanup(backend.Close)
	front.startWithBackEnd(t, store.URL, backend.Listener.Addr().String(), "key_revocation: "+revocationTime.String())
	front.awaitReady(t)
	eventually(t, "a request to be served", func() bool { return front.getWithKey(t, "/front/x", keyOfSmith, nil).StatusCode == http.StatusOK })

	runs := front.runs.Load()
	clock.suspend(30*time.Second, func() {
		stub.Put("op/config", tenantsConfiguration(5, `[{"name":"smith","api_keys":["secret-of-the-new"]}]`))
	}, front)
	first := front.getWithKey(t, "/front/x", keyOfSmith, nil)
	is.True(first.StatusCode == http.StatusServiceUnavailable || first.StatusCode == http.StatusUnauthorized)
	is.Equal(front.runs.Load(), runs) // the request did not run

	// The node fetches the current policy and applies it.
	eventually(t, "the revoked key to be refused", func() bool {
		return front.getWithKey(t, "/front/x", keyOfSmith, nil).StatusCode == http.StatusUnauthorized
	})
	is.Equal(front.getWithKey(t, "/front/x", "secret-of-the-new", nil).StatusCode, http.StatusOK)
}
