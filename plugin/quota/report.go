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
	"github.com/loomcleat/loomcleat/wire"
)

// Timing of reports.
const (
	// answerTimeout bounds the time until a report is answered, which takes a few milliseconds. It
	// is short, since a process that waits for an answer admits little beyond its equal shares.
	answerTimeout = 200 * time.Millisecond
	// reportPause is the minimum time between two reports. It bounds the number of reports that
	// are sent before the interval has passed.
	reportPause = 30 * time.Millisecond
	// skipTime is how long a coordinator that did not answer is skipped.
	skipTime = time.Second
	// firstReportInterval is the time between two reports until one is answered. It is short, since
	// a process admits hardly any requests of small tenants until then.
	firstReportInterval = 50 * time.Millisecond
	// idleInterval is the time between two checks whether reports are needed.
	idleInterval = time.Second
	// idleTimeout keeps the connection to the coordinator open between two reports.
	idleTimeout = 10 * time.Second
)

// reportLoop sends reports until ctx ends.
func (l *limiter) reportLoop(ctx context.Context) {
	defer l.client.Close()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-time.After(l.nextInterval()):
		}
		for l.reportsNeeded() && !l.sendReport(ctx) && ctx.Err() == nil {
			kernel.Pause(ctx, reportPause)
		}
		kernel.Pause(ctx, reportPause)
	}
}

// nextInterval returns the time until the next report.
func (l *limiter) nextInterval() time.Duration {
	l.mutex.Lock()
	isFirst := l.limiter.AwaitsFirstAnswer()
	l.mutex.Unlock()
	switch {
	case !l.reportsNeeded():
		return idleInterval
	case isFirst:
		return firstReportInterval
	case l.reportAgain:
		return quota.ReportAgainDelay
	default:
		return l.config.Interval
	}
}

// reportsNeeded reports whether the policy requires keys. If it does, most tenants have a quota,
// and the answers to reports prove the policy, without which no key is accepted.
func (l *limiter) reportsNeeded() bool { return l.process.Policy.Load().Tenants().Required() }

// sendReport sends one report and applies the answer. It returns false if the coordinator did not
// answer.
func (l *limiter) sendReport(ctx context.Context) bool {
	coordinator, found := l.coordinator(clock.Now().Time())
	if !found {
		return true // no coordinator is known; try again after the interval
	}
	l.mutex.Lock()
	report := l.limiter.BeginReport(l.process.ID)
	l.mutex.Unlock()
	sentAt := clock.Now().Time()
	answer, err := l.askCoordinator(ctx, coordinator, report)
	if err != nil {
		l.recordFailure(coordinator, sentAt, err)
		return false
	}
	l.mutex.Lock()
	changed := l.limiter.ReportAnswered(sentAt, answer)
	l.mutex.Unlock()
	l.reportAgain = answer.ReportAgain
	l.logAnswer(coordinator, changed)
	return true
}

// recordFailure records and logs that a coordinator did not answer a report.
func (l *limiter) recordFailure(coordinator membership.Member, sentAt time.Time, err error) {
	l.mutex.Lock()
	l.limiter.ReportFailed()
	l.mutex.Unlock()
	l.skipUntil[coordinator.ID] = sentAt.Add(skipTime)
	l.lastCoordinator = ""
	l.process.Log.Emit(event.QuotaUnanswered, "coordinator", coordinator.ID, "taken_ms", clock.Now().Time().Sub(sentAt).Milliseconds(), "error", err)
}

// logAnswer logs a change of the coordinator, and the tenants whose share an answer has changed.
func (l *limiter) logAnswer(coordinator membership.Member, changed []quota.Share) {
	if l.lastCoordinator != coordinator.ID {
		l.lastCoordinator = coordinator.ID
		l.process.Log.Emit(event.QuotaCoordinatorChanged, "coordinator", coordinator.ID)
	}
	for _, share := range changed {
		l.process.Log.Emit(event.QuotaNarrowed, "tenant", share.Tenant, "admit", share.Admit, "coordinator", coordinator.ID)
	}
}

// askCoordinator sends a report to the coordinator, which may be this process.
func (l *limiter) askCoordinator(ctx context.Context, coordinator membership.Member, report quota.Report) (quota.Answer, error) {
	if coordinator.ID == l.process.ID {
		return l.receive(report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	message := wire.QuotaReport{Report: report, Revisions: l.process.Documents.Revisions()}
	var reply wire.QuotaAnswer
	sentAt := clock.Now().Time()
	if err := l.client.Invoke(ctx, coordinator.Control, http.MethodPost, wire.PathQuota, &message, &reply); err != nil {
		return quota.Answer{}, err
	}
	l.process.Documents.ObservePeerRevisions(coordinator.Control, reply.Revisions, sentAt)
	return reply.Answer, nil
}
