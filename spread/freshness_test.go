package spread

import (
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
			is.Equal(freshness.IsVouched(at(10)), c.vouched)
		})
	}
}
