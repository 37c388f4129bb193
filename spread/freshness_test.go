package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFreshness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := []struct {
		name      string
		apply     func(*Freshness)
		age       time.Duration
		known     bool
		confirmed bool
	}{
		{"never verified", func(*Freshness) {}, 0, false, false},
		{"read from the store", func(f *Freshness) { f.RecordVerified(at(9)) }, time.Second, true, false},
		{"confirmed", func(f *Freshness) { f.RecordConfirmation(at(9), time.Second) }, 2 * time.Second, true, true},
		{"confirmed with a high age", func(f *Freshness) { f.RecordConfirmation(at(9), 5*time.Second) }, 6 * time.Second, true, false},
		{"confirmed long ago", func(f *Freshness) { f.RecordConfirmation(at(7), 0) }, 3 * time.Second, true, false},
		{"older confirmation after a read", func(f *Freshness) { f.RecordVerified(at(9)); f.RecordConfirmation(at(10), 4*time.Second) }, time.Second, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			freshness := &Freshness{}
			c.apply(freshness)
			age, known := freshness.Age(at(10))
			is.Equal(age, c.age)
			is.Equal(known, c.known)
			is.Equal(freshness.IsConfirmed(at(10), 1), c.confirmed)
		})
	}
}

// TestFewProcessesReadStore guards against a bound on the age of confirmations that makes many
// processes read the store. Each process of a simulated mesh exchanges messages with a random
// other one once a second, and four watch the store with reads every 700 ms.
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
	for _, size := range []int{14, 65, 194, 300, 1000} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(size)))
		members := make([]Freshness, size)
		next := make([]time.Duration, size)
		for i := range next {
			next[i] = time.Duration(random.Int64N(int64(interval)))
		}
		start := time.Unix(1000, 0)
		checks, mustRead := 0, 0
		for at := time.Duration(0); at < end; at += step {
			now := start.Add(at)
			if at%wait == 0 {
				for i := range watchers {
					members[i].RecordVerified(now)
				}
			}
			for i := range members {
				if at < next[i] {
					continue
				}
				next[i] += interval
				exchange(now, &members[i], &members[random.IntN(size)])
			}
			if at < warmUp {
				continue
			}
			for i := watchers; i < size; i++ {
				checks++
				if members[i].MustReadStore(now, size) {
					mustRead++
				}
			}
		}
		if share := float64(mustRead) / float64(checks); share > maximumShare {
			t.Errorf("%d processes: share of checks that read the store is %.3f", size, share)
		}
		is.True(checks > 0)
	}
}

// exchange makes two members confirm each other's document.
func exchange(now time.Time, a, b *Freshness) {
	ageA, knownA := a.Age(now)
	ageB, knownB := b.Age(now)
	if knownA {
		b.RecordConfirmation(now, ageA)
	}
	if knownB {
		a.RecordConfirmation(now, ageB)
	}
}

func TestMustReadStore(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := []struct {
		name     string
		apply    func(*Freshness)
		mustRead bool
	}{
		{"after the start", func(*Freshness) {}, true},
		{"after a recent read", func(f *Freshness) { f.RecordVerified(at(9.5)) }, false},
		{"after an old read", func(f *Freshness) { f.RecordVerified(at(8.5)) }, true},
		{"confirmed", func(f *Freshness) { f.RecordConfirmation(at(9), time.Second) }, false},
		{"confirmed too long ago", func(f *Freshness) { f.RecordConfirmation(at(5), 0) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			freshness := &Freshness{}
			c.apply(freshness)
			is.Equal(freshness.MustReadStore(at(10), 14), c.mustRead)
		})
	}
}
