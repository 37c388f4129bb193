package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time by its number of milliseconds after epoch.
func at(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }

func limitOf(rate Rate) *Rate { return &rate }

// sendAll takes every millisecond of a span and returns the number of requests sent.
func sendAll(l *Limiter, from, to int) (sent int) {
	for millisecond := from; millisecond < to; millisecond++ {
		for l.Take(at(millisecond)) {
			sent++
			if sent > 100000 {
				return sent
			}
		}
	}
	return sent
}

func TestNoLimit(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	for range 1000 {
		is.True(l.Take(epoch))
	}
	is.Equal(l.Wait(epoch, 5), time.Duration(0))
	_, limited := l.Limit()
	is.True(!limited)
}

// TestDeclaredLimitIsKept guards against more requests in any second than the limit and its burst.
func TestDeclaredLimitIsKept(t *testing.T) {
	for _, limit := range []Rate{0.5, 1, 4.8, 37, 900} {
		is := is.New(t)
		l := &Limiter{}
		l.Observe(Declaration{SentAt: at(0), ReceivedAt: at(50), Limit: &limit})
		is.True(!l.Take(at(50))) // the back end has just got requests without a limit
		sent := sendAll(l, 50, 10050)
		is.True(float64(sent) <= 10*float64(limit)+1)
		is.True(float64(sent) >= 9*float64(limit)-1) // the limit is used
		afterPause := sendAll(l, 60000, 64000)
		is.True(float64(afterPause) <= (4+burstTime.Seconds())*float64(limit)+1)
	}
}

// TestZeroLimitIsTried guards against a back end that never gets a request again, so that nobody
// learns that its limit has ended.
func TestZeroLimitIsTried(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	l.Observe(Declaration{SentAt: at(0), ReceivedAt: at(1), Limit: limitOf(0)})
	is.Equal(sendAll(l, 1, 4101), 2)
	l.Observe(Declaration{SentAt: at(4000), ReceivedAt: at(4001)})
	for range 100 {
		is.True(l.Take(at(4001)))
	}
}

// TestOrderOfDeclarations guards against an answer from before a limit that ends or raises it.
func TestOrderOfDeclarations(t *testing.T) {
	limited := Declaration{SentAt: at(100), ReceivedAt: at(200), Limit: limitOf(5)}
	cases := []struct {
		name string
		next Declaration
		want *Rate
	}{
		{"a lower limit of an earlier request", Declaration{SentAt: at(50), ReceivedAt: at(210), Limit: limitOf(2)}, limitOf(2)},
		{"a higher limit of an earlier request", Declaration{SentAt: at(150), ReceivedAt: at(210), Limit: limitOf(9)}, limitOf(5)},
		{"a higher limit of a later request", Declaration{SentAt: at(201), ReceivedAt: at(300), Limit: limitOf(9)}, limitOf(9)},
		{"no limit of an earlier request", Declaration{SentAt: at(200), ReceivedAt: at(300)}, limitOf(5)},
		{"no limit of a later request", Declaration{SentAt: at(201), ReceivedAt: at(300)}, nil},
		{"another incarnation", Declaration{Incarnation: "other", SentAt: at(201), ReceivedAt: at(300)}, limitOf(5)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &Limiter{}
			l.Observe(limited)
			l.Observe(c.next)
			limit, exists := l.Limit()
			is.Equal(exists, c.want != nil)
			if c.want != nil {
				is.Equal(limit, *c.want)
			}
		})
	}
}

// TestFallingLimitTakesEffectAtOnce guards against requests that were saved up under a higher
// limit.
func TestFallingLimitTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	l.Observe(Declaration{SentAt: at(0), ReceivedAt: at(1), Limit: limitOf(100)})
	l.Observe(Declaration{SentAt: at(2), ReceivedAt: at(5000), Limit: limitOf(4)})
	is.True(sendAll(l, 5000, 9000) <= 16+2)
}

// TestRecall guards against a restarted node that floods its back end, and against an old limit
// that comes back after the back end has answered.
func TestRecall(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	l.Begin("i-1")
	l.Recall(at(0), "i-0", 3)
	_, limited := l.Limit()
	is.True(!limited) // of an earlier incarnation
	l.Recall(at(0), "i-1", 5)
	l.Recall(at(1), "i-1", 8) // the lowest one counts
	limit, limited := l.Limit()
	is.True(limited && limit == 5)
	is.True(!l.Take(at(1)))

	l.Observe(Declaration{Incarnation: "i-1", SentAt: at(2), ReceivedAt: at(3)}) // the limit has ended
	_, limited = l.Limit()
	is.True(!limited)
	l.Recall(at(4), "i-1", 5)
	_, limited = l.Limit()
	is.True(!limited)
}

func TestBeginForgetsLimit(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	l.Begin("i-1")
	l.Observe(Declaration{Incarnation: "i-1", SentAt: at(0), ReceivedAt: at(1), Limit: limitOf(1)})
	l.Begin("i-1")
	_, limited := l.Limit()
	is.True(limited)
	l.Begin("i-2")
	_, limited = l.Limit()
	is.True(!limited)
}

func TestWait(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	l.Observe(Declaration{SentAt: at(0), ReceivedAt: at(0), Limit: limitOf(10)})
	for waiting, want := range []time.Duration{100, 200, 300} {
		got := l.Wait(at(0), waiting)
		is.True(got >= want*time.Millisecond && got < (want+1)*time.Millisecond)
	}
	is.True(l.Take(at(0).Add(l.Wait(at(0), 0)))) // the wait is never too short
}

// TestShares guards against callers that together use more than a node's limit, and against
// limits that nobody uses.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		limit   Rate
		callers int
	}{{5, 1}, {5, 14}, {30, 200}, {0.7, 3}} {
		is := is.New(t)
		shares := make([]Share, c.callers)
		for i := range shares {
			shares[i].Set(epoch, c.limit, c.callers, float64(i)/float64(c.callers))
		}
		used := 0
		for millisecond := range 60000 {
			for i := range shares {
				if now := at(millisecond); shares[i].Open(now) {
					shares[i].Use(now)
					used++
				}
			}
		}
		is.True(float64(used) <= 60*float64(c.limit))
		is.True(float64(used) >= 60*float64(c.limit)*0.7)
	}
}

// TestShareOfZeroLimit guards against a node that gets no call again once its limit has ended.
func TestShareOfZeroLimit(t *testing.T) {
	is := is.New(t)
	var share Share
	share.Set(epoch, 0, 1000, 0.99)
	is.True(share.Open(epoch.Add(maximumInterval)))
	for range 10 { // calls that no other node took
		share.Use(epoch)
	}
	is.True(share.Open(epoch.Add(maximumInterval)))
}
