package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fetchesAt returns a Fetches with a bound of two seconds, and a function that converts milliseconds
// into times.
func fetchesAt() (*Fetches, func(milliseconds int) time.Time) {
	fetches := NewFetches(TimingFor(2 * time.Second))
	start := time.Unix(1000, 0)
	return &fetches, func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
}

// next returns the peer that is asked at a time, "" for none.
func next(f *Fetches, now time.Time) string {
	peer, _ := f.Next(now)
	return peer
}

// TestSilentPeerDelaysNoFetch guards against a peer that does not answer and keeps others from being
// asked.
func TestSilentPeerDelaysNoFetch(t *testing.T) {
	is := is.New(t)
	f, at := fetchesAt()
	is.True(f.Observe(at(0), "silent", 5))
	is.Equal(next(f, at(0)), "silent")
	is.True(!f.Observe(at(10), "other", 5))
	is.Equal(next(f, at(10)), "") // the first one has had no time to answer
	is.Equal(next(f, at(200)), "other")
	f.Observe(at(210), "third", 6)
	f.Observe(at(220), "fourth", 6)
	is.Equal(next(f, at(400)), "fourth")
	is.Equal(next(f, at(600)), "") // three are being asked
	f.Ended("other")
	is.Equal(next(f, at(600)), "third")
}

// TestFailedPeerIsReplacedAtOnce guards against a pause after a fetch that failed.
func TestFailedPeerIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	f, at := fetchesAt()
	f.Observe(at(0), "a", 5)
	f.Observe(at(1), "b", 5)
	is.Equal(next(f, at(2)), "b")
	f.Ended("b")
	is.Equal(next(f, at(3)), "a")
	f.Ended("a")
	is.Equal(next(f, at(4)), "") // none is asked in a loop
	f.Observe(at(5), "a", 5)     // but again once it has announced the revision again
	is.Equal(next(f, at(5)), "a")
}

// TestHigherRevisionAnnouncedDuringFetch guards against forgetting that a peer holds a higher revision
// than the one that is being fetched from it.
func TestHigherRevisionAnnouncedDuringFetch(t *testing.T) {
	is := is.New(t)
	f, at := fetchesAt()
	f.Observe(at(0), "a", 5)
	is.Equal(next(f, at(0)), "a")
	f.Observe(at(1), "a", 6)
	news, known := f.Adopted(5)
	is.True(known)
	is.Equal(news, News{Peer: "a", Revision: 5, At: at(0)})
	f.Ended("a")
	is.True(f.IsOutdated())
	is.Equal(next(f, at(2)), "a")
	f.Adopted(6)
	f.Ended("a")
	is.True(!f.IsOutdated())
	is.Equal(next(f, at(3)), "")
}

// TestStoreIsReadWhenPeersDontDeliver guards against a process that knows of a higher revision and
// goes on without it because those that hold it don't answer.
func TestStoreIsReadWhenPeersDontDeliver(t *testing.T) {
	is := is.New(t)
	f, at := fetchesAt()
	is.True(!f.MustReadStore(at(0)))
	f.Observe(at(0), "a", 5)
	next(f, at(0))
	f.Ended("a")
	is.True(!f.MustReadStore(at(399)))
	is.True(f.MustReadStore(at(400)))
	f.Observe(at(450), "a", 7)
	f.Adopted(5)
	is.True(!f.MustReadStore(at(500))) // revision 7 has been known for 50 ms
	is.True(f.MustReadStore(at(850)))
	f.Adopted(7)
	is.True(!f.MustReadStore(at(10_000)))
	is.True(!f.Observe(at(10_000), "b", 7)) // no news
}

// TestNewsIsNeverForgotten guards against a higher revision that is known and not waited for, in any
// order of announcements, fetches and adoptions.
func TestNewsIsNeverForgotten(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		f, at := fetchesAt()
		highest, held, running := uint64(0), uint64(0), []string{}
		for step := range 300 {
			now := at(step * 20)
			switch random.IntN(4) {
			case 0, 1:
				revision := held + uint64(random.IntN(4))
				highest = max(highest, revision)
				f.Observe(now, fmt.Sprint("peer ", random.IntN(12)), revision)
			case 2:
				if peer, found := f.Next(now); found {
					running = append(running, peer)
				}
			case 3:
				if len(running) == 0 {
					continue
				}
				if random.IntN(2) == 0 {
					held = min(held+uint64(random.IntN(3)), highest)
					f.Adopted(held)
				}
				f.Ended(running[0])
				running = running[1:]
			}
			if f.IsOutdated() != (highest > held) {
				t.Fatalf("seed %d, step %d: outdated is %t at revision %d of %d", seed, step, f.IsOutdated(), held, highest)
			}
			if len(running) > maximumFetches || len(f.holders) > maximumHolders+maximumFetches {
				t.Fatalf("seed %d, step %d: %d fetches, %d holders", seed, step, len(running), len(f.holders))
			}
		}
	}
}
