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

// buildSuspendable builds the program with a clock that a test can put forward, as a
// suspension of its machine does, and returns its path.
func buildSuspendable(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "loomcleat")
	build := exec.Command("go", "build", "-tags", "suspendedclock", "-o", path, "../cmd/loomcleat")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, output)
	}
	return path
}

// machineClock is the clock of the machines that a test suspends.
type machineClock struct {
	t     *testing.T
	path  string
	slept time.Duration
}

func newMachineClock(t *testing.T) *machineClock {
	c := &machineClock{t: t, path: filepath.Join(t.TempDir(), "suspended")}
	t.Setenv("LOOMCLEAT_TEST_SUSPENDED", c.path)
	return c
}

// suspend stops nodes and lets them go on with a clock that has gone on.
func (c *machineClock) suspend(duration time.Duration, meanwhile func(), nodes ...*platformNode) {
	c.t.Helper()
	for _, n := range nodes {
		n.signal(syscall.SIGSTOP)
	}
	meanwhile()
	c.slept += duration
	next := c.path + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(int64(c.slept), 10)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(next, c.path); err != nil {
		c.t.Fatal(err)
	}
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
	}
}

// TestAKeyTakenAwayDuringASuspensionIsRefused
//
// Symptom: a machine that was suspended for 30 seconds lets in a key that was taken away
// in that time.
//
// Sequence: the node proves its policy; the machine is suspended; the key is taken away;
// the machine goes on, and the first request with the key is served by the old policy.
//
// Cause: the age of the proof was measured by the steady clock, which stands still while a
// machine is suspended, so that the proof seemed as new as before.
func TestAKeyTakenAwayDuringASuspensionIsRefused(t *testing.T) {
	is := is.New(t)
	clock := newMachineClock(t)
	stub := metastore.NewServer()
	store := httptest.NewServer(stub.Handler())
	t.Cleanup(store.Close)
	stub.Put("op/config", tenantsConfiguration(3, allTenants))
	program := buildSuspendable(t)
	front := newPlatformNode(t, "front")
	front.binary = program
	backend := httptest.NewServer(http.HandlerFunc(front.serveBackend))
	t.Cleanup(backend.Close)
	front.startBeside(t, store.URL, backend.Listener.Addr().String(), "key_revocation: "+revocationTime.String())
	eventually(t, "readiness", func() bool { return front.ready() == http.StatusOK })
	is.Equal(front.beat("ready"), http.StatusOK)
	eventually(t, "a request to be served", func() bool { return front.ask(t, "/front/x", keyOfSmith, nil).StatusCode == http.StatusOK })

	runs := front.runs.Load()
	clock.suspend(30*time.Second, func() {
		stub.Put("op/config", tenantsConfiguration(5, `[{"name":"smith","api_keys":["secret-of-the-new"]}]`))
	}, front)
	first := front.ask(t, "/front/x", keyOfSmith, nil)
	is.True(first.StatusCode == http.StatusServiceUnavailable || first.StatusCode == http.StatusUnauthorized)
	is.Equal(front.runs.Load(), runs) // it did not run

	// The policy in force is found, and goes by at once.
	eventually(t, "the old key to be unknown", func() bool {
		return front.ask(t, "/front/x", keyOfSmith, nil).StatusCode == http.StatusUnauthorized
	})
	is.Equal(front.ask(t, "/front/x", "secret-of-the-new", nil).StatusCode, http.StatusOK)
}
