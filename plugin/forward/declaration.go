package forward

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/ratelimit"
)

// announcedChange is the share by which a rate limit must change to be announced again. A back
// end may compute its limit anew for each answer.
const announcedChange = 0.2

// announceInterval is the minimum time between two announcements of a rate limit that changes
// without beginning or ending.
const announceInterval = 500 * time.Millisecond

// announcement is the rate limit that was announced last.
type announcement struct {
	mutex sync.Mutex
	// Nil for no limit.
	limit *ratelimit.Rate
	at    time.Time
	// The announcement was lost, and is made again.
	lost bool
}

// lose marks the last announcement as lost.
func (a *announcement) lose() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lost = true
}

// replace stores the limit in force, nil for none, and reports whether it must be announced.
func (a *announcement) replace(now time.Time, limit *ratelimit.Rate) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.lost && !a.isDue(now, limit) {
		return false
	}
	a.limit, a.at, a.lost = limit, now, false
	return true
}

// isDue reports whether a limit begins, ends or has changed enough to be announced.
func (a *announcement) isDue(now time.Time, limit *ratelimit.Rate) bool {
	if limit == nil || a.limit == nil {
		return limit != a.limit
	}
	change := math.Abs(float64(*limit - *a.limit))
	return change > announcedChange*float64(*a.limit) && now.Sub(a.at) >= announceInterval
}

// recordDeclarations records what the back end declares about itself in an answer. incarnation is
// the one that was expected to answer.
func (f *forwarder) recordDeclarations(response *http.Response, sentAt time.Time, incarnation string) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return // another incarnation answered
	}
	f.recordRateLimit(response.Header, sentAt, incarnation)
	f.recordLeaving(response.Header, sentAt, incarnation)
}

func (f *forwarder) recordRateLimit(header http.Header, sentAt time.Time, incarnation string) {
	if f.process.Dialect.ReadRateLimit == nil {
		return
	}
	limit, err := f.process.Dialect.ReadRateLimit(header)
	if err != nil {
		f.process.Counters.InvalidRateLimits.Add(1)
		f.process.Log.Emit(event.RateLimitNotUnderstood, "backend", f.process.Settings.Backend, "instance", incarnation, "error", err)
		return
	}
	now := time.Now()
	f.process.RateLimit.Observe(ratelimit.Declaration{Incarnation: incarnation, SentAt: sentAt, ReceivedAt: now, Limit: limit})
	f.announceRateLimit(now, incarnation)
}

// announceRateLimit logs and announces to peers a change of the rate limit in force.
func (f *forwarder) announceRateLimit(now time.Time, incarnation string) {
	var limit *ratelimit.Rate
	if inForce, limited := f.process.RateLimit.Limit(); limited {
		limit = &inForce
	}
	if !f.announced.replace(now, limit) {
		return
	}
	if !f.process.Loop.Post(func(time.Time) { f.process.Mesh.SetRateLimit(limit) }) {
		f.announced.lose()
	}
	sent := f.process.Counters.BackEndRequests.Load()
	if limit == nil {
		f.process.Log.Emit(event.RateLimitDeclared, "instance", incarnation, "limited", false, "sent", sent)
		return
	}
	f.process.Log.Emit(event.RateLimitDeclared, "instance", incarnation, "limited", true, "requests_per_second", float64(*limit), "sent", sent)
}

func (f *forwarder) recordLeaving(header http.Header, sentAt time.Time, incarnation string) {
	if f.process.Dialect.IsLeaving == nil {
		return
	}
	leaving := f.process.Dialect.IsLeaving(header)
	switch {
	case f.process.BackEnd != nil:
		if leaving {
			f.process.BackEnd.ObserveLeaving(incarnation, sentAt)
		}
	case leaving || f.process.Settings.BackendHealthPath == "":
		f.setDraining(leaving)
	}
}
