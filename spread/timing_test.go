package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeLatency is the time of a read of a store that is well, with room for a slow one.
const storeLatency = 50 * time.Millisecond

// TestTimesAddUpToLessThanBound guards against steps that, one after the other, take longer than the
// bound: the age at which a process reads the store, the next check, a read that is lost, and another.
func TestTimesAddUpToLessThanBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, time.Minute} {
		t.Run(bound.String(), func(t *testing.T) {
			timing := TimingFor(bound)
			reads := timing.ReadTimeout + storeLatency
			silentPeers := timing.ReadAge + timing.CheckInterval + reads
			announced := timing.ReadDelay + timing.CheckInterval + reads
			if silentPeers > bound || announced > bound {
				t.Errorf("reading the store takes %s without peers, and %s after an announcement", silentPeers, announced)
			}
			if timing.RequestAge+timing.CheckInterval+timing.PeerTimeout > timing.ReadAge {
				t.Errorf("no time to ask a peer before the store is read: %+v", timing)
			}
		})
	}
}

// TestFewProcessesReadStore guards against ages at which many processes read the store although those
// that watch it answer. Each process of a simulated mesh asks a random other one once a second, and one
// that watches the store when its knowledge is too old. Four watch the store, 700 ms at a time.
func TestFewProcessesReadStore(t *testing.T) {
	const (
		step         = 10 * time.Millisecond
		interval     = time.Second
		wait         = 700 * time.Millisecond
		watchers     = 4
		warmUp       = 10 * time.Second
		end          = 30 * time.Second
		maximumShare = 0.03 // share of the checks at all processes
	)
	timing := TimingFor(2 * time.Second)
	for _, size := range []int{14, 65, 194, 300, 1000} {
		t.Run(fmt.Sprint(size, " processes"), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, uint64(size)))
			members := make([]Proof, size)
			next, nextCheck := make([]time.Duration, size), make([]time.Duration, size)
			for i := range next {
				next[i] = time.Duration(random.Int64N(int64(interval)))
				nextCheck[i] = time.Duration(random.Int64N(int64(timing.CheckInterval)))
			}
			start := time.Unix(1000, 0)
			checks, mustRead := 0, 0
			for at := time.Duration(0); at < end; at += step {
				now := start.Add(at)
				if at%wait == 0 {
					for i := range watchers {
						members[i].Record(now)
					}
				}
				for i := range members {
					if at >= next[i] {
						next[i] += interval
						ask(now, &members[i], &members[random.IntN(size)])
					}
					if i < watchers || at < nextCheck[i] {
						continue
					}
					nextCheck[i] += timing.CheckInterval
					age, known := members[i].Age(now)
					if !known || age > timing.RequestAge {
						ask(now, &members[i], &members[random.IntN(watchers)])
					}
					if at < warmUp {
						continue
					}
					checks++
					if age, known := members[i].Age(now); !known || age > timing.ReadAge {
						mustRead++
					}
				}
			}
			if share := float64(mustRead) / float64(checks); share > maximumShare {
				t.Errorf("share of checks that read the store is %.3f", share)
			}
			is.True(checks > 0)
		})
	}
}

// ask makes a process learn the age that a peer knows.
func ask(now time.Time, process, peer *Proof) {
	if age, known := peer.Age(now); known {
		process.Record(now.Add(-age))
	}
}
