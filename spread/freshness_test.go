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
		name    string
		play    func(*Freshness)
		age     time.Duration
		known   bool
		vouched bool
	}{
		{"nothing is known", func(*Freshness) {}, 0, false, false},
		{"read from the store", func(f *Freshness) { f.Verified(at(9)) }, time.Second, true, false},
		{"vouched for", func(f *Freshness) { f.Vouched(at(9), time.Second) }, 2 * time.Second, true, true},
		{"vouched for by one who knows little", func(f *Freshness) { f.Vouched(at(9), 5*time.Second) }, 6 * time.Second, true, false},
		{"vouched for long ago", func(f *Freshness) { f.Vouched(at(7), 0) }, 3 * time.Second, true, false},
		{"older news after newer", func(f *Freshness) { f.Verified(at(9)); f.Vouched(at(10), 4*time.Second) }, time.Second, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			freshness := &Freshness{}
			c.play(freshness)
			age, known := freshness.Age(at(10))
			is.Equal(age, c.age)
			is.Equal(known, c.known)
			is.Equal(freshness.IsVouched(at(10), 1), c.vouched)
		})
	}
}

// TestFewGoToTheStore plays meshes in virtual time: each member exchanges messages
// with a random other one each second, and four watch the store in waits of 700 ms.
// Of the others, hardly any may have to look for itself, whatever the size.
func TestFewGoToTheStore(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		interval = time.Second
		wait     = 700 * time.Millisecond
		watchers = 4
		settled  = 10 * time.Second
		end      = 30 * time.Second
		most     = 0.03 // of the looks at all members
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
		looks, must := 0, 0
		for at := time.Duration(0); at < end; at += step {
			now := start.Add(at)
			if at%wait == 0 {
				for i := range watchers {
					members[i].Verified(now)
				}
			}
			for i := range members {
				if at < next[i] {
					continue
				}
				next[i] += interval
				exchange(now, &members[i], &members[random.IntN(size)])
			}
			if at < settled {
				continue
			}
			for i := watchers; i < size; i++ {
				looks++
				if members[i].MustLook(now, size) {
					must++
				}
			}
		}
		if share := float64(must) / float64(looks); share > most {
			t.Errorf("of %d members, a share of %.3f goes to the store", size, share)
		}
		is.True(looks > 0)
	}
}

// exchange lets two members vouch for each other.
func exchange(now time.Time, a, b *Freshness) {
	ageA, knownA := a.Age(now)
	ageB, knownB := b.Age(now)
	if knownA {
		b.Vouched(now, ageA)
	}
	if knownB {
		a.Vouched(now, ageB)
	}
}

func TestMustLook(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := []struct {
		name string
		play func(*Freshness)
		must bool
	}{
		{"at a start", func(*Freshness) {}, true},
		{"a moment after a look of its own", func(f *Freshness) { f.Verified(at(9.5)) }, false},
		{"alone for a while", func(f *Freshness) { f.Verified(at(8.5)) }, true},
		{"vouched for", func(f *Freshness) { f.Vouched(at(9), time.Second) }, false},
		{"vouched for too long ago", func(f *Freshness) { f.Vouched(at(5), 0) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			freshness := &Freshness{}
			c.play(freshness)
			is.Equal(freshness.MustLook(at(10), 14), c.must)
		})
	}
}
