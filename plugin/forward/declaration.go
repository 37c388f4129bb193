package forward

import (
	"math"
	"net/http"
	"sync"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/ratelimit"
)

// loggedChange is the share by which a rate limit must change to be logged again. A back end may
// compute its limit anew for each answer.
const loggedChange = 0.2

// declarations are the declarations of the back end that were logged last.
type declarations struct {
	mutex sync.Mutex
	// Rate limit, nil for none.
	rate *ratelimit.Rate
	// Incarnation that declared that it is leaving, "" for none.
	leaving string
}

// recordDeclarations records what the back end declares about itself in the header of an answer.
// incarnation is the one that was expected to answer.
func (f *forwarder) recordDeclarations(header http.Header, incarnation string) {
	f.recordRateLimit(header, incarnation)
	f.recordLeaving(header, incarnation)
}

func (f *forwarder) recordRateLimit(header http.Header, incarnation string) {
	if f.process.Dialect.ReadRateLimit == nil {
		return
	}
	rate, err := f.process.Dialect.ReadRateLimit(header)
	if err != nil {
		f.process.Counters.InvalidRateLimits.Add(1)
		f.process.Log.Emit(event.RateLimitNotUnderstood, "backend", f.process.Settings.Backend, "instance", incarnation, "error", err)
		return
	}
	if !f.declared.changeRate(rate) {
		return
	}
	if rate == nil {
		f.process.Log.Emit(event.RateLimitDeclared, "instance", incarnation, "limited", false)
		return
	}
	f.process.Log.Emit(event.RateLimitDeclared, "instance", incarnation, "limited", true, "requests_per_second", float64(*rate),
		"sent", f.process.Counters.BackEndRequests.Load())
}

func (f *forwarder) recordLeaving(header http.Header, incarnation string) {
	if f.process.Dialect.IsLeaving == nil || !f.process.Dialect.IsLeaving(header) {
		return
	}
	if f.declared.changeLeaving(incarnation) {
		f.process.Log.Emit(event.LeavingDeclared, "backend", f.process.Settings.Backend, "instance", incarnation)
	}
}

// changeRate stores a rate limit and reports whether it differs enough from the last one to be
// logged.
func (d *declarations) changeRate(rate *ratelimit.Rate) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if rate == nil || d.rate == nil {
		changed := rate != d.rate
		d.rate = rate
		return changed
	}
	if math.Abs(float64(*rate-*d.rate)) <= loggedChange*float64(*d.rate) {
		return false
	}
	d.rate = rate
	return true
}

// changeLeaving stores the incarnation that is leaving and reports whether it is another one.
func (d *declarations) changeLeaving(incarnation string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changed := d.leaving != incarnation
	d.leaving = incarnation
	return changed
}
