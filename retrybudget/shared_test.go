package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var sharedStart = time.Unix(1000, 0)

// TestSharedKeepsCommonBound runs processes that retry as often as allowed under varying
// load, and checks every span of the length of a window.
func TestSharedKeepsCommonBound(t *testing.T) {
	const (
		processes = 12
		step      = 100 * time.Millisecond
		steps     = 600
		perWindow = 100
	)
	config := SharedConfig{Ratio: 0.2, Slack: 55, Window: 10 * time.Second}
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		shares := make([]*Shared, processes)
		for i := range shares {
			shares[i] = NewShared(config, sharedStart)
		}
		requests, retries := make([]int, steps), make([]int, steps)
		for at := range steps {
			now := sharedStart.Add(time.Duration(at) * step)
			load := []int{0, 1, 8}[at/100%3]
			for i, share := range shares {
				if random.IntN(200) == 0 { // the process crashes and restarts
					shares[i] = NewShared(config, now)
					share = shares[i]
				}
				for range load {
					share.RecordRequest(now)
					requests[at]++
				}
				for share.Spend(now, processes, 1) {
					retries[at]++
				}
			}
		}
		is := is.New(t)
		for end := perWindow; end <= steps; end++ {
			requested, retried := sum(requests[end-perWindow:end]), sum(retries[end-perWindow:end])
			before := sum(requests[max(end-2*perWindow, 0) : end-perWindow])
			half := sum(requests[max(end-perWindow*3/2, 0) : end-perWindow/2])
			bound := config.Ratio*float64(max(requested, before, half)) + float64(config.Slack)
			is.True(float64(retried) <= bound) // the bound of the window that ends here
		}
	}
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

func TestSharedAllowsRatioAndSlack(t *testing.T) {
	is := is.New(t)
	share := NewShared(SharedConfig{Ratio: 0.2, Slack: 24, Window: 10 * time.Second}, sharedStart)
	for range 100 {
		share.RecordRequest(sharedStart)
	}
	spent := 0
	for share.Spend(sharedStart, 12, 1) {
		spent++
	}
	is.Equal(spent, 14) // from the ratio alone, in the first window
	later := sharedStart.Add(time.Minute)
	for spent = 0; share.Spend(later, 12, 1); spent++ {
	}
	is.Equal(spent, 2) // from the slack alone, without requests
}

func TestUnconditionalRetriesCount(t *testing.T) {
	is := is.New(t)
	share := NewShared(SharedConfig{Ratio: 1, Window: 10 * time.Second}, sharedStart)
	for range 10 {
		share.RecordRequest(sharedStart)
		share.RecordRetry(sharedStart)
	}
	is.True(!share.Spend(sharedStart, 1, 1))
	is.True(!share.Spend(sharedStart.Add(5*time.Second), 1, 1))
}

// TestHigherRanksSpendMore checks that every rank may use a share of the budget, higher
// ranks more of it, and any rank a budget of one retry.
func TestHigherRanksSpendMore(t *testing.T) {
	spend := func(requests int, rank float64) (spent int) {
		share := NewShared(SharedConfig{Ratio: 1, Window: 10 * time.Second}, sharedStart)
		for range requests {
			share.RecordRequest(sharedStart)
		}
		for share.Spend(sharedStart, 1, rank) {
			spent++
		}
		return spent
	}
	for _, c := range []struct {
		requests int
		rank     float64
		want     int
	}{
		{100, 1, 70}, {100, 0.5, 52}, {100, 0, 35}, {100, -3, 35}, {100, 7, 70}, {2, 0, 1}, {0, 1, 0},
	} {
		if got := spend(c.requests, c.rank); got != c.want {
			t.Errorf("%d requests: want %d retries at rank %.1f, got %d", c.requests, c.want, c.rank, got)
		}
	}
}
