package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNodeWithoutAnswersIsAvoided guards against a slow node that keeps its calls because no
// caller waits long enough to measure its latency.
func TestNodeWithoutAnswersIsAvoided(t *testing.T) {
	for name, outcome := range map[string]Outcome{"caller gave up": Unknown, "no answer in time": Failed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer("slow", "b", "c")
			now, counts := epoch.Add(time.Minute), map[string]int{}
			run := func(calls int, slow bool) {
				clear(counts)
				for range calls {
					now = now.Add(time.Millisecond)
					target, found := b.Pick(now, Requirements{Path: "path"})
					is.True(found)
					counts[target.ID]++
					if slow && target.ID == "slow" {
						b.Done(now, target.ID, 700*time.Millisecond, outcome)
						continue
					}
					b.Done(now, target.ID, 20*time.Millisecond, Answered)
				}
			}
			run(1000, false)
			is.True(counts["slow"] > 200)
			run(1000, true)
			is.True(counts["slow"] > 0)
			is.True(counts["slow"] < 50)
			now = now.Add(20 * time.Second)
			run(3000, false)
			is.True(counts["slow"] > 500) // the node has recovered
		})
	}
}

// TestNodeThatOnlyRefusesIsNotFast guards against too low a latency assumed for a node that
// has never answered.
func TestNodeThatOnlyRefusesIsNotFast(t *testing.T) {
	is := is.New(t)
	b := newBalancer("refuses", "b", "c")
	now, refused := epoch.Add(time.Minute), 0
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		target, found := b.Pick(now, Requirements{Path: "path"})
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
