package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// newLimitedBalancer returns a balancer of one node without a limit, "free", and nodes with a rate
// limit, which this process shares with others.
func newLimitedBalancer(limit ratelimit.Rate, callers int, limited ...string) *Balancer {
	source := rand.New(rand.NewPCG(1, 2))
	b := New(Config{Region: "r", Zone: "z", Random: source.IntN})
	targets := []Target{{ID: "free", Region: "r", Zone: "z"}}
	for _, id := range limited {
		targets = append(targets, Target{ID: id, Region: "r", Zone: "z", RateLimit: &limit, Callers: callers})
	}
	b.Update(epoch, targets)
	return b
}

// countSpread makes calls for 10 seconds, 50 a second, and counts them by node.
func countSpread(b *Balancer, exclude ...string) map[string]int {
	counts := map[string]int{}
	for i := range 500 {
		now := epoch.Add(time.Minute + time.Duration(i)*20*time.Millisecond)
		if target, ok := b.Pick(now, Requirements{Path: "path", Exclude: exclude}); ok {
			counts[target.ID]++
			b.Done(now, target.ID, time.Millisecond, Answered)
		}
	}
	return counts
}

// TestLimitedNodeGetsItsShare guards against callers that offer a node more than its rate limit
// while another has room, and against a limited node that gets nothing, so that nobody learns when
// its limit ends.
func TestLimitedNodeGetsItsShare(t *testing.T) {
	is := is.New(t)
	counts := countSpread(newLimitedBalancer(5, 2, "limited"))
	is.True(counts["limited"] >= 15 && counts["limited"] <= 5*10/2)
	is.Equal(counts["free"]+counts["limited"], 500)
}

// TestLimitedNodesAreUsedWhenNoOtherHasRoom guards against taking a limit for an outage: when no
// other node is left, the node beside the back end decides by priority.
func TestLimitedNodesAreUsedWhenNoOtherHasRoom(t *testing.T) {
	is := is.New(t)
	counts := countSpread(newLimitedBalancer(5, 2, "limited-1", "limited-2"), "free")
	is.Equal(counts["limited-1"]+counts["limited-2"], 500)
}

// TestNodeWithoutLimitTakesCallsAgain guards against a limit that is kept after its end.
func TestNodeWithoutLimitTakesCallsAgain(t *testing.T) {
	is := is.New(t)
	b := newLimitedBalancer(1, 10, "limited")
	b.Update(epoch.Add(time.Second), []Target{{ID: "free", Region: "r", Zone: "z"}, {ID: "limited", Region: "r", Zone: "z"}})
	is.True(countSpread(b)["limited"] > 150)
}
