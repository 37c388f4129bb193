package editor

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/standin/consul"
	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store/consulkv"
)

func newStore(t *testing.T) (*consul.Server, *consulkv.Client) {
	stub := consul.NewServer()
	server := httptest.NewServer(stub.Handler())
	t.Cleanup(server.Close)
	client := consulkv.NewClient(consulkv.Config{BaseURL: server.URL, Timeout: 5 * time.Second})
	t.Cleanup(client.Close)
	return stub, client
}

func set(path, key, value string) []policy.Change {
	return []policy.Change{{Path: path, Key: key, Value: value}}
}

// Concurrent edits must all take effect, each exactly once.
func TestConcurrentEditsAreNotLost(t *testing.T) {
	is := is.New(t)
	_, store := newStore(t)
	const operators, edits = 6, 5
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			editor := New(store, fmt.Sprint(operator))
			for edit := range edits {
				path := fmt.Sprintf("team/family/service-%d-%d", operator, edit)
				if _, err := editor.Apply(t.Context(), set(path, "class", "bulk")); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	document, _, err := Read(t.Context(), store)
	is.NoErr(err)
	is.Equal(len(document.Entries), operators*edits)
	is.Equal(document.Revision, uint64(operators*edits)) // an edit was lost or applied twice
}

// Apply must return the right code under faults of the store and for invalid edits, and an
// edit must be written exactly when it returns success.
func TestApplyResultCodes(t *testing.T) {
	cases := []struct {
		name     string
		faults   consul.Faults
		changes  []policy.Change
		code     result.Code // 0: accepted
		revision uint64      // read after the fault was removed
	}{
		{"healthy", consul.Faults{}, set("t/f/s", "retry_budget", "5"), 0, 1},
		{"answer lost after the write", consul.Faults{DropResponses: 1}, set("t/f/s", "retry_budget", "5"), 0, 1},
		{"answers lost twice", consul.Faults{DropResponses: 2}, set("t/f/s", "retry_budget", "5"), 0, 1},
		{"down", consul.Faults{Down: true}, set("t/f/s", "retry_budget", "5"), result.StoreUnavailable, 0},
		{"rate limited", consul.Faults{RatePerSecond: -1}, set("t/f/s", "retry_budget", "5"), result.StoreUnavailable, 0},
		{"out of range", consul.Faults{}, set("t/f/s", "retry_budget", "33"), result.PolicyInvalid, 0},
		{"unknown key", consul.Faults{}, set("t/f/s", "colour", "red"), result.PolicyInvalid, 0},
		{"wrong unit", consul.Faults{}, set("t/f/s", "deadline", "5 apples"), result.PolicyInvalid, 0},
		{"bad path", consul.Faults{}, set("t/f/s/x/y", "class", "bulk"), result.PolicyInvalid, 0},
		{"unset of a missing entry", consul.Faults{}, []policy.Change{{Path: "t", Unset: true}}, result.NotFound, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			stub, store := newStore(t)
			stub.SetFaults(c.faults)
			_, err := New(store, "operator").Apply(t.Context(), c.changes)
			var typed *result.Error
			if c.code == 0 {
				is.NoErr(err)
			} else {
				is.True(errors.As(err, &typed))
				is.Equal(typed.Code, c.code)
			}
			stub.SetFaults(consul.Faults{})
			document, _, err := Read(context.Background(), store)
			is.NoErr(err)
			is.Equal(document.Revision, c.revision)
		})
	}
}
