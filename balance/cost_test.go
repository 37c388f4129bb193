package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestANodeThatIsGivenUpOnIsSlow: its callers wait until their time is over and never
// see an answer. That is no reason to go on calling it.
func TestANodeThatIsGivenUpOnIsSlow(t *testing.T) {
	for name, ends := range map[string]Outcome{"the caller gave up": Unknown, "the time was over": Failed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer("slow", "b", "c")
			now, counts := epoch.Add(time.Minute), map[string]int{}
			play := func(calls int, slow bool) {
				clear(counts)
				for range calls {
					now = now.Add(time.Millisecond)
					target, found := b.Pick(now, Need{Path: "path"})
					is.True(found)
					counts[target.ID]++
					if slow && target.ID == "slow" {
						b.Done(now, target.ID, 700*time.Millisecond, ends)
						continue
					}
					b.Done(now, target.ID, 20*time.Millisecond, Answered)
				}
			}
			play(1000, false)
			is.True(counts["slow"] > 200)
			play(1000, true)
			is.True(counts["slow"] > 0)
			is.True(counts["slow"] < 50)
			now = now.Add(20 * time.Second)
			play(3000, false)
			is.True(counts["slow"] > 500) // it has recovered
		})
	}
}

// TestANodeThatOnlyRefusesIsNoFastOne: it has never answered, so that nothing is known of
// its latency.
func TestANodeThatOnlyRefusesIsNoFastOne(t *testing.T) {
	is := is.New(t)
	b := newBalancer("refuses", "b", "c")
	now, refused := epoch.Add(time.Minute), 0
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		target, found := b.Pick(now, Need{Path: "path"})
		is.True(found)
		if target.ID == "refuses" {
			refused++
			b.Done(now, target.ID, time.Millisecond, Refused)
			continue
		}
		b.Done(now, target.ID, 200*time.Millisecond, Answered)
	}
	is.True(refused > 0)
	is.True(refused < 200)
}
