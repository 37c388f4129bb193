package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallsStayInTheZoneWhileItHasRoom although the nodes of another one are faster,
// and leave it in parts as it fills. One node is a zone as well; one that is far slower
// than the others keeps nothing.
func TestCallsStayInTheZoneWhileItHasRoom(t *testing.T) {
	later := epoch.Add(time.Minute)
	cases := []struct {
		name        string
		near, away  int
		slower      int     // times the latency of the others
		load        float64 // shown by the nodes of the zone, 0: nothing is shown
		least, most float64 // share of the calls that stay
	}{
		{"room", 4, 12, 3, 0.3, mostLocal, 1},
		{"filling", 4, 12, 3, 0.725, 0.4, 0.6},
		{"full", 4, 12, 3, 1, 0, 0.2},
		{"queues", 4, 12, 3, 9, 0, 0.2},
		{"nothing is known", 4, 12, 3, 0, 0, 0.2},
		{"far slower", 4, 12, 5, 0.3, 0, 0.2},
		{"one node with room", 1, 2, 3, 0.3, mostLocal, 1},
		{"one node, filling", 1, 2, 3, 0.725, 0.4, 0.7},
		{"one node, far slower", 1, 2, 5, 0.3, 0, 0.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			source := rand.New(rand.NewPCG(1, 2))
			b := New(Config{Region: "r", Zone: "z", Random: source.IntN})
			targets := []Target{}
			for i := range c.near + c.away {
				target := Target{ID: fmt.Sprint(i), Region: "r", Zone: "z"}
				if i >= c.near {
					target.Zone = "other"
				}
				targets = append(targets, target)
			}
			b.Update(epoch, targets)
			const calls = 2000
			stayed := 0
			for i := range calls {
				now := later.Add(time.Duration(i) * time.Millisecond)
				target, found := b.Pick(now, Need{Path: "path"})
				is.True(found)
				if target.Zone == "z" {
					stayed++
				}
				latency := 20 * time.Millisecond
				if target.Zone == "z" {
					latency *= time.Duration(c.slower)
				}
				b.Done(now, target.ID, latency, Answered)
				if c.load > 0 {
					b.SetLoad(now, target.ID, c.load)
				}
			}
			share := float64(stayed) / calls
			if share < c.least-0.01 || share > c.most {
				t.Errorf("a share of %.2f stays", share)
			}
		})
	}
}

// TestAZoneWhoseNodesFailIsLeft: those that are ejected or would refuse are no
// choice, whatever room they had.
func TestAZoneWhoseNodesFailIsLeft(t *testing.T) {
	is := is.New(t)
	later := epoch.Add(time.Minute)
	b := New(Config{Region: "r", Zone: "z", Random: rand.New(rand.NewPCG(1, 2)).IntN})
	targets := []Target{}
	for i := range 8 {
		zone := "z"
		if i >= 4 {
			zone = "other"
		}
		targets = append(targets, Target{ID: fmt.Sprint(i), Region: "r", Zone: zone, Suspect: i < 4})
	}
	b.Update(epoch, targets)
	b.SetLoad(later, "0", 0.1)
	for range 100 {
		target, found := b.Pick(later, Need{Path: "path"})
		is.True(found)
		is.Equal(target.Zone, "other")
		b.Done(later, target.ID, time.Millisecond, Answered)
	}
}

// TestAZoneIsLeftForWhatItsOnlyNodeShows: calls go elsewhere while the only node of
// the zone fails or refuses some of them, and come back when it no longer does.
func TestAZoneIsLeftForWhatItsOnlyNodeShows(t *testing.T) {
	for name, ends := range map[string]Outcome{"fails": Failed, "answers failures": Faulty, "refuses": Refused} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(Config{Region: "r", Zone: "z", Random: rand.New(rand.NewPCG(1, 2)).IntN})
			b.Update(epoch, []Target{
				{ID: "near", Region: "r", Zone: "z"}, {ID: "far", Region: "r", Zone: "y"}, {ID: "farther", Region: "r", Zone: "x"},
			})
			now := epoch.Add(time.Minute)
			play := func(calls int, outcome Outcome) (near int) {
				for i := range calls {
					now = now.Add(time.Millisecond)
					target, found := b.Pick(now, Need{Path: "path"})
					is.True(found)
					b.SetLoad(now, target.ID, 0.3)
					ended := Answered
					if target.ID == "near" {
						near++
						if i%2 == 0 {
							ended = outcome
						}
					}
					b.Done(now, target.ID, 20*time.Millisecond, ended)
				}
				return near
			}
			is.True(play(1000, Answered) > 950)
			is.True(play(1000, ends) < 500)
			now = now.Add(10 * time.Second)
			is.True(play(1000, Answered) > 900)
		})
	}
}

// TestOneLuckyAnswerMakesNoZoneSlow: among many nodes there is one that was called once
// and answered at once. Beside it, all others look slow.
func TestOneLuckyAnswerMakesNoZoneSlow(t *testing.T) {
	is := is.New(t)
	b := New(Config{Region: "r", Zone: "z", Random: rand.New(rand.NewPCG(1, 2)).IntN})
	targets := []Target{}
	for i := range 12 {
		zone := "z"
		if i >= 4 {
			zone = "other"
		}
		targets = append(targets, Target{ID: fmt.Sprint(i), Region: "r", Zone: zone})
	}
	b.Update(epoch, targets)
	now := epoch.Add(time.Minute)
	usual := func(target Target) time.Duration {
		if target.Zone == "z" {
			return 200 * time.Millisecond
		}
		return 100 * time.Millisecond
	}
	for _, target := range targets {
		b.Done(now, target.ID, usual(target), Answered)
		b.SetLoad(now, target.ID, 0.2)
	}
	b.Done(now.Add(time.Hour), "11", time.Millisecond, Answered)
	stayed := 0
	for range 1000 {
		target, found := b.Pick(now, Need{Path: "path"})
		is.True(found)
		if target.Zone == "z" {
			stayed++
		}
		b.Done(now, target.ID, usual(target), Answered)
	}
	is.True(stayed > 900)
}
