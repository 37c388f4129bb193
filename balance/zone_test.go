package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallsStayWhileZoneHasRoom checks that calls stay in the local zone although the nodes
// of another one are faster, leave it in part as it fills, and leave it if its nodes are
// far slower.
func TestCallsStayWhileZoneHasRoom(t *testing.T) {
	later := epoch.Add(time.Minute)
	cases := []struct {
		name             string
		near, away       int     // number of nodes in the local zone and in another one
		slower           int     // latency of the local zone as a multiple of the other zone's
		load             float64 // reported by all nodes, 0: not reported
		minimum, maximum float64 // share of the calls that stay
	}{
		{"room", 4, 12, 3, 0.3, maximumLocalShare, 1},
		{"filling", 4, 12, 3, 0.725, 0.4, 0.6},
		{"full", 4, 12, 3, 1, 0, 0.2},
		{"queueing", 4, 12, 3, 9, 0, 0.2},
		{"load unknown", 4, 12, 3, 0, 0, 0.2},
		{"far slower", 4, 12, 5, 0.3, 0, 0.2},
		{"one node with room", 1, 2, 3, 0.3, maximumLocalShare, 1},
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
				target, found := b.Pick(now, Requirements{Path: "path"})
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
			if share < c.minimum-0.01 || share > c.maximum {
				t.Errorf("share of calls that stayed in the local zone: %.2f", share)
			}
		})
	}
}

// TestSuspectZoneIsLeft checks that calls leave a zone whose nodes are all suspect, even if
// they have room.
func TestSuspectZoneIsLeft(t *testing.T) {
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
		target, found := b.Pick(later, Requirements{Path: "path"})
		is.True(found)
		is.Equal(target.Zone, "other")
		b.Done(later, target.ID, time.Millisecond, Answered)
	}
}

// TestZoneWithBadNodeIsLeft checks that calls go to other zones while the only node of the
// local zone fails or refuses some of them, and stay again after it recovers.
func TestZoneWithBadNodeIsLeft(t *testing.T) {
	for name, badOutcome := range map[string]Outcome{"fails": Failed, "answers with failures": Faulty, "refuses": Refused} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(Config{Region: "r", Zone: "z", Random: rand.New(rand.NewPCG(1, 2)).IntN})
			b.Update(epoch, []Target{
				{ID: "near", Region: "r", Zone: "z"}, {ID: "far", Region: "r", Zone: "y"}, {ID: "farther", Region: "r", Zone: "x"},
			})
			now := epoch.Add(time.Minute)
			run := func(calls int, outcome Outcome) (near int) {
				for i := range calls {
					now = now.Add(time.Millisecond)
					target, found := b.Pick(now, Requirements{Path: "path"})
					is.True(found)
					b.SetLoad(now, target.ID, 0.3)
					result := Answered
					if target.ID == "near" {
						near++
						if i%2 == 0 {
							result = outcome
						}
					}
					b.Done(now, target.ID, 20*time.Millisecond, result)
				}
				return near
			}
			is.True(run(1000, Answered) > 950)
			is.True(run(1000, badOutcome) < 500)
			now = now.Add(10 * time.Second)
			is.True(run(1000, Answered) > 900)
		})
	}
}

// TestSingleFastAnswerIsIgnored guards against one node that answered fast by chance and
// makes the whole local zone look too slow to keep its calls.
func TestSingleFastAnswerIsIgnored(t *testing.T) {
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
		target, found := b.Pick(now, Requirements{Path: "path"})
		is.True(found)
		if target.Zone == "z" {
			stayed++
		}
		b.Done(now, target.ID, usual(target), Answered)
	}
	is.True(stayed > 900)
}
