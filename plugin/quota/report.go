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
func (l *limiter) report(ctx context.Context) {
	defer l.client.Close()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-time.After(l.pace()):
		}
		for l.needed() && !l.exchange(ctx) && ctx.Err() == nil {
			kernel.Pause(ctx, reportPause)
		}
		kernel.Pause(ctx, reportPause)
	}
}

// pace returns the time until the next report.
func (l *limiter) pace() time.Duration {
	l.mutex.Lock()
	isFirst := l.ledger.AwaitsFirstAnswer()
	l.mutex.Unlock()
	switch {
	case !l.needed():
		return idlePace
	case isFirst:
		return firstPace
	case l.again:
		return quota.AgainTime
	default:
		return l.config.Interval
	}
}

// needed reports whether reports serve anything: where keys are required, the answers prove
// the policy by which they are trusted, and most tenants have a quota.
func (l *limiter) needed() bool { return l.process.Policy.Load().Tenants().Required() }

// exchange makes one report and reports whether it was answered.
func (l *limiter) exchange(ctx context.Context) bool {
	coordinator, found := l.coordinator(clock.Now().Time())
	if !found {
		return true // nobody else is known: the next look is an interval away
	}
	l.mutex.Lock()
	report := l.ledger.BeginReport(l.process.ID)
	l.mutex.Unlock()
	asked := clock.Now().Time()
	answer, err := l.ask(ctx, coordinator, report)
	if err != nil {
		l.failed(coordinator, asked, err)
		return false
	}
	l.mutex.Lock()
	changed := l.ledger.ReportAnswered(asked, answer)
	l.mutex.Unlock()
	l.again = answer.Again
	l.logAnswer(coordinator, changed)
	return true
}

func (l *limiter) failed(coordinator membership.Member, asked time.Time, err error) {
	l.mutex.Lock()
	l.ledger.ReportFailed()
	l.mutex.Unlock()
	l.avoided[coordinator.ID] = asked.Add(avoidTime)
	l.last = ""
	l.process.Log.Emit(event.QuotaUnanswered, "coordinator", coordinator.ID, "taken_ms", clock.Now().Time().Sub(asked).Milliseconds(), "error", err)
}

// logAnswer logs what an answer has changed.
func (l *limiter) logAnswer(coordinator membership.Member, changed []quota.Share) {
	if l.last != coordinator.ID {
		l.last = coordinator.ID
		l.process.Log.Emit(event.QuotaCoordinatorChanged, "coordinator", coordinator.ID)
	}
	for _, share := range changed {
		l.process.Log.Emit(event.QuotaNarrowed, "tenant", share.Tenant, "admit", share.Admit, "coordinator", coordinator.ID)
	}
}

// ask sends a report to the coordinator, which may be this process.
func (l *limiter) ask(ctx context.Context, coordinator membership.Member, report quota.Report) (quota.Answer, error) {
	if coordinator.ID == l.process.ID {
		return l.receive(report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	message := wire.QuotaReport{Report: report, Revisions: l.process.Documents.Revisions()}
	var reply wire.QuotaAnswer
	asked := clock.Now().Time()
	if err := l.client.Invoke(ctx, coordinator.Control, http.MethodPost, wire.PathQuota, &message, &reply); err != nil {
		return quota.Answer{}, err
	}
	l.process.Documents.Heard(coordinator.Control, reply.Revisions, asked)
	return reply.Answer, nil
}
