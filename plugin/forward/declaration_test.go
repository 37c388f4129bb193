package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/ratelimit"
)

// TestAnnouncements guards against a limit that peers are never told of, and against an announcement for
// each answer of a back end that computes its limit anew.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	limit := func(rate ratelimit.Rate) *ratelimit.Rate { return &rate }
	var a announcement
	is.True(!a.replace(at(0), nil))
	is.True(a.replace(at(1), limit(10)))
	is.True(!a.replace(at(2), limit(5)))   // too soon
	is.True(!a.replace(at(600), limit(9))) // a small change
	is.True(a.replace(at(601), limit(5)))
	is.True(a.replace(at(602), nil)) // the end is told at once
	is.True(!a.replace(at(603), nil))
	is.True(a.replace(at(604), limit(0)))
	a.lose()
	is.True(a.replace(at(605), limit(0)))
	is.True(!a.replace(at(606), limit(0)))
}
