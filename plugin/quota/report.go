package quota

import (
	"context"
	"net/http"
	"time"

	"github.com/loomcleat/loomcleat/clock"
	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/membership"
	"github.com/loomcleat/loomcleat/quota"
	"github.com/loomcleat/loomcleat/spread"
	"github.com/loomcleat/loomcleat/wire"
)

// Bounds of reports.
const (
	// answerTimeout bounds one report. An answer takes a few milliseconds; while one is
	// missing, the process may admit hardly anything beyond its equal shares.
	answerTimeout = 200 * time.Millisecond
	// reportPause is the least time between two reports, so that those made ahead of time
	// stay few.
	reportPause = 30 * time.Millisecond
	// avoidTime is how long a coordinator that did not answer is not asked again.
	avoidTime = time.Second
	// firstPace is the time between two looks for a coordinator until one has answered:
	// until then, a process admits hardly any request of small tenants.
	firstPace = 50 * time.Millisecond
	// idlePace is the time between two looks at whether there are tenants.
	idlePace = time.Second
	// connectionIdle keeps the connection to the coordinator between two reports.
	connectionIdle = 10 * time.Second
)

// report makes reports until ctx ends.
func (k *keeper) report(ctx context.Context) {
	defer k.client.Close()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-time.After(k.pace()):
		}
		for k.needed() && !k.exchange(ctx) && ctx.Err() == nil {
			kernel.Pause(ctx, reportPause)
		}
		kernel.Pause(ctx, reportPause)
	}
}

// pace returns the time until the next report.
func (k *keeper) pace() time.Duration {
	k.mutex.Lock()
	waits := k.ledger.Waits()
	k.mutex.Unlock()
	switch {
	case !k.needed():
		return idlePace
	case waits:
		return firstPace
	case k.again:
		return quota.AgainTime
	default:
		return k.config.Interval
	}
}

// needed reports whether there is anything to keep: keys, whose policy the answers prove,
// and mostly quotas.
func (k *keeper) needed() bool { return k.process.Policy.Load().Tenants().Required() }

// exchange makes one report and reports whether it was answered.
func (k *keeper) exchange(ctx context.Context) bool {
	coordinator, found := k.coordinator(clock.Now().Time())
	if !found {
		return true // nobody else is known: the next look is an interval away
	}
	k.mutex.Lock()
	report := k.ledger.Begin(k.process.ID)
	k.mutex.Unlock()
	asked := clock.Now().Time()
	answer, err := k.ask(ctx, coordinator, report)
	if err != nil {
		k.failed(coordinator, asked, err)
		return false
	}
	k.mutex.Lock()
	changed := k.ledger.Answered(asked, answer)
	k.mutex.Unlock()
	k.again = answer.Again
	k.logAnswer(coordinator, changed)
	return true
}

func (k *keeper) failed(coordinator membership.Member, asked time.Time, err error) {
	k.mutex.Lock()
	k.ledger.Failed()
	k.mutex.Unlock()
	k.avoided[coordinator.ID] = asked.Add(avoidTime)
	k.last = ""
	k.process.Log.Emit(event.QuotaUnanswered, "coordinator", coordinator.ID, "taken_ms", clock.Now().Time().Sub(asked).Milliseconds(), "error", err)
}

// logAnswer tells what an answer has changed.
func (k *keeper) logAnswer(coordinator membership.Member, changed []quota.Share) {
	if k.last != coordinator.ID {
		k.last = coordinator.ID
		k.process.Log.Emit(event.QuotaCoordinatorChanged, "coordinator", coordinator.ID)
	}
	for _, share := range changed {
		k.process.Log.Emit(event.QuotaNarrowed, "tenant", share.Tenant, "admit", share.Admit, "coordinator", coordinator.ID)
	}
}

// ask sends a report to the coordinator, which may be this process.
func (k *keeper) ask(ctx context.Context, coordinator membership.Member, report quota.Report) (quota.Answer, error) {
	if coordinator.ID == k.process.ID {
		return k.receive(report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	message := wire.QuotaReport{Report: report, Revisions: k.process.Documents.Revisions()}
	var reply wire.QuotaAnswer
	asked := clock.Now().Time()
	if err := k.client.Invoke(ctx, coordinator.Control, http.MethodPost, wire.PathQuota, &message, &reply); err != nil {
		return quota.Answer{}, err
	}
	k.process.Documents.Heard(coordinator.Control, reply.Revisions, asked)
	return reply.Answer, nil
}

// coordinator returns the process that adds up what all have counted: the first of those
// that watch the store, whose answers prove the policy as well. One that has not answered
// a moment ago is passed over.
func (k *keeper) coordinator(now time.Time) (membership.Member, bool) {
	members := *k.process.Members.Load()
	if len(members) < 2 && time.Since(k.process.Started) < joinTime {
		return membership.Member{}, false // it will know others in a moment
	}
	for _, id := range spread.Watchers(kernel.LiveIDs(members), len(members)) {
		if k.avoided[id].After(now) {
			continue
		}
		for _, member := range members {
			if member.ID == id {
				return member, true
			}
		}
	}
	clear(k.avoided)
	return membership.Member{}, false
}

// serveReport answers the report of another process.
func (k *keeper) serveReport(w http.ResponseWriter, r *http.Request) {
	var message wire.QuotaReport
	if !kernel.ReadJSON(w, r, &message) {
		return
	}
	answer := k.receive(message.Report)
	kernel.WriteJSON(w, wire.QuotaAnswer{Answer: answer, Revisions: k.process.Documents.Revisions()})
}

func (k *keeper) receive(report quota.Report) quota.Answer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.pool.Receive(clock.Now().Time(), report)
}

// serveTenants tells operators what is known here of the quotas.
func (k *keeper) serveTenants(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now().Time()
	k.mutex.Lock()
	answer := wire.Tenants{ID: k.process.ID, CutOff: k.ledger.CutOff(now), Quotas: k.ledger.States(now)}
	k.mutex.Unlock()
	kernel.WriteJSON(w, answer)
}
