package configsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/wire"
)

// TestAgeOfPolicy guards against a policy that is taken for the newest one although nothing shows it:
// a late reply, a message that nobody asked for, or a peer that has a newer one.
func TestAgeOfPolicy(t *testing.T) {
	const slow = 5 * time.Second // more than the test takes
	cases := []struct {
		name      string
		revisions wire.Revisions
		// Zero for a message that was not requested.
		requestedAgo time.Duration
		known        bool
		minimum      time.Duration
		outdated     bool
	}{
		{"a reply", wire.Revisions{Age: 5}, time.Millisecond, true, 6 * time.Millisecond, false},
		{"a reply of an old one", wire.Revisions{Age: 2000}, time.Millisecond, true, 2001 * time.Millisecond, true},
		{"a late reply", wire.Revisions{Age: 5}, 2 * time.Second, true, 2005 * time.Millisecond, true},
		{"not requested", wire.Revisions{Age: 5}, 0, false, 0, true},
		{"a newer policy", wire.Revisions{Age: 5, Policy: 7}, time.Millisecond, false, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			process := newProcess(t, gatewaySettings(), &hangingStore{})
			s, ok := process.Documents.(*synchronizer)
			is.True(ok)
			requestedAt := time.Time{}
			if c.requestedAgo > 0 {
				requestedAt = clock.Now().Time().Add(-c.requestedAgo)
			}
			s.ObservePeerRevisions("127.0.0.1:1", c.revisions, requestedAt)
			age, known := s.age()
			is.Equal(known, c.known)
			is.True(age >= c.minimum && age < c.minimum+slow)
			is.Equal(s.MayBeOutdated(s.documents[wire.DocumentPolicy].revision.Load()), c.outdated)
		})
	}
}

// TestKnownHigherRevisionOutdatesPolicy guards against a policy that is taken for the newest one,
// because it was lately, although a peer has announced a higher revision.
func TestKnownHigherRevisionOutdatesPolicy(t *testing.T) {
	is := is.New(t)
	process := newProcess(t, gatewaySettings(), &hangingStore{})
	process.Documents.ObservePeerRevisions("127.0.0.1:1", wire.Revisions{Age: 5}, clock.Now().Time())
	is.True(!process.Documents.MayBeOutdated(0))
	process.Documents.ObservePeerRevisions("127.0.0.1:1", wire.Revisions{Policy: 7}, time.Time{})
	is.True(process.Documents.MayBeOutdated(0))
}

// TestReplacedPolicyIsOutdated guards against a refusal by a policy that has been replaced, because the
// one in its place was confirmed.
func TestReplacedPolicyIsOutdated(t *testing.T) {
	is := is.New(t)
	w := startWatcher(t, &hangingStore{revision: 5})
	is.NoErr(w.step(t.Context()))
	is.True(!w.synchronizer.MayBeOutdated(5))
	is.True(w.synchronizer.MayBeOutdated(4))
}

// TestDelayedChangeConfirmsBeginningOfWait guards against the answer to a wait that came with a change,
// was delayed, and is taken to show that nothing has changed until the end of the wait.
func TestDelayedChangeConfirmsBeginningOfWait(t *testing.T) {
	is := is.New(t)
	requestedAt := clock.Now().Time().Add(-time.Second)
	const wait = 700 * time.Millisecond
	is.Equal(newestAt(requestedAt, wait, true), requestedAt.Add(wait))
	is.Equal(newestAt(requestedAt, wait, false), requestedAt)
	is.Equal(newestAt(requestedAt, 2*time.Second, true), requestedAt) // an early answer
	is.Equal(newestAt(requestedAt, 0, true), requestedAt)             // a read
}
