package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimeout(t *testing.T) {
	const minute = time.Minute
	cases := []struct {
		name    string
		attempt Attempt
		limit   time.Duration
		bounded bool
	}{
		{"node with unknown latency", Attempt{Repeatable: true, Retriable: true, Left: minute}, MinimumTimeout, true},
		{"fast node", Attempt{Repeatable: true, Retriable: true, Latency: time.Millisecond, Left: minute}, MinimumTimeout, true},
		{"slow node", Attempt{Repeatable: true, Retriable: true, Latency: time.Second, Left: minute}, 8 * time.Second, true},
		{"little time left", Attempt{Repeatable: true, Retriable: true, Left: time.Millisecond}, time.Millisecond, true},
		{"claimed", Attempt{Retriable: true, Left: minute}, minimumClaimedTimeout, true},
		{"not retriable", Attempt{Repeatable: true, Left: minute}, 0, false},
		{"shared budget", Attempt{Repeatable: true, Retriable: true, SharedBudget: true, Left: minute}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			limit, bounded := Timeout(c.attempt)
			is.Equal(limit, c.limit)
			is.Equal(bounded, c.bounded)
		})
	}
}
