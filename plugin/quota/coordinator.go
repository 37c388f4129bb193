package quota

import (
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/wire"
)

// coordinator returns the process that adds up the counts of all processes: the first of those that
// watch the store, whose answers also prove the policy. It skips processes that did not answer
// within the last skipTime. It returns false if none is left, and the next call then considers all
// processes again.
func (l *limiter) coordinator(now time.Time) (membership.Member, bool) {
	members := *l.process.Members.Load()
	if len(members) < 2 && time.Since(l.process.Started) < joinTime {
		return membership.Member{}, false // still joining the mesh
	}
	for _, id := range spread.Watchers(kernel.LiveIDs(members), len(members)) {
		if l.skipUntil[id].After(now) {
			continue
		}
		for _, member := range members {
			if member.ID == id {
				return member, true
			}
		}
	}
	clear(l.skipUntil)
	return membership.Member{}, false
}

// serveReport answers the report of another process.
func (l *limiter) serveReport(w http.ResponseWriter, r *http.Request) {
	var message wire.QuotaReport
	if !kernel.ReadJSON(w, r, &message) {
		return
	}
	answer := l.receive(message.Report)
	kernel.WriteJSON(w, wire.QuotaAnswer{Answer: answer, Revisions: l.process.Documents.Revisions()})
}

// receive processes a report that was sent to this process as the coordinator.
func (l *limiter) receive(report quota.Report) quota.Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.totals.Receive(clock.Now().Time(), report)
}

// serveTenants serves the state of the quotas at this process to operators.
func (l *limiter) serveTenants(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now().Time()
	l.mutex.Lock()
	answer := wire.Tenants{ID: l.process.ID, CutOff: l.limiter.CutOff(now), Quotas: l.limiter.States(now)}
	l.mutex.Unlock()
	kernel.WriteJSON(w, answer)
}
