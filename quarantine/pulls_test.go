package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilentPeerDelaysNoPull guards against a peer that does not answer, or fails, and keeps crashes
// that others know from being fetched.
func TestSilentPeerDelaysNoPull(t *testing.T) {
	is := is.New(t)
	pulls := &Pulls{}
	at := func(milliseconds int) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
	}
	is.True(pulls.Begin(at(0), "silent", 7))
	is.True(!pulls.Begin(at(10), "other", 7)) // the first one has had no time to answer
	is.True(pulls.Begin(at(10), "third", 8))  // another digest
	is.True(!pulls.Begin(at(200), "silent", 7))
	is.True(pulls.Begin(at(200), "other", 7))
	is.True(!pulls.Begin(at(900), "fourth", 9)) // three are running
	pulls.Ended(at(1000), "silent", false)
	is.True(pulls.Begin(at(1000), "fourth", 7)) // a failure is no reason to wait
	pulls.Ended(at(1010), "fourth", true)
	is.True(!pulls.Begin(at(1500), "fifth", 7)) // what it knows has been fetched
	is.True(pulls.Begin(at(3010), "fifth", 7))
}
