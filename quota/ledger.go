package quota

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ledger admits the requests that tenants make at one process. It is not safe for
// concurrent use.
type Ledger struct {
	config    Config
	seed      uint64
	processes float64
	accounts  map[string]*account // by tenant, of those with a quota
	reporting map[string]Usage    // in the report that is on its way
	heard     time.Time           // when the last answer was asked for, zero: never
	failed    bool                // the last report was not answered
}

// account is what a Ledger knows of one tenant.
type account struct {
	quota      Quota
	unreported int     // admitted, and not in an answered report
	asked      int     // the same of all requests
	admit      float64 // share of the requests to admit, as the coordinator says
	due        float64 // of the next request by that share: one is admitted at 1
	own        bucket  // the equal share of this process
	alone      bool    // the last request was decided by it
	random     *rand.Rand
	recent     tally
}

// NewLedger returns a Ledger of a process that has heard nothing yet. seed is that of its
// random choices, which must differ from those of other processes.
func NewLedger(config Config, seed uint64) *Ledger {
	return &Ledger{config: config, seed: seed, processes: 1, accounts: map[string]*account{}}
}

// SetQuotas puts the quotas of a policy in force. Tenants without one are not listed.
func (l *Ledger) SetQuotas(now time.Time, quotas map[string]Quota) {
	for tenant := range l.accounts {
		if _, exists := quotas[tenant]; !exists {
			delete(l.accounts, tenant)
		}
	}
	for tenant, quota := range quotas {
		if known, exists := l.accounts[tenant]; exists {
			known.quota = quota
			continue
		}
		created := &account{quota: quota, admit: 1, own: bucket{updated: now}}
		created.random = rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(tenant)))
		created.own.level = l.ownCapacity(created)
		l.accounts[tenant] = created
	}
}

// SetProcesses tells by how many processes quotas are shared. Too high a number is safe,
// too low a one is not.
func (l *Ledger) SetProcesses(processes int) { l.processes = float64(max(processes, 1)) }

// Decision says what becomes of a request.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a refused caller may find room, 0 when that is
	// not known.
	RetryAfter time.Duration
	// Report asks for a report at once: much is unreported.
	Report bool
	// Basis is what decided.
	Basis Basis
}

// Basis is what a Decision rests on.
type Basis int

// Bases of decisions.
const (
	Unbounded  Basis = iota // the tenant has no quota
	WithinPool              // the coordinator says that there is room
	ShareOfAll              // a share of all requests, as the coordinator says
	OwnShare                // the equal share of this process: nobody answers, or much is unreported
)

var basisNames = []string{"unbounded", "within-pool", "share-of-all", "own-share"}

// String returns the name of the basis.
func (b Basis) String() string {
	if b < Unbounded || b > OwnShare {
		return "unknown"
	}
	return basisNames[b]
}

// Admit decides on a request of a tenant and counts it.
func (l *Ledger) Admit(now time.Time, tenant string) Decision {
	a, bounded := l.accounts[tenant]
	if !bounded {
		return Decision{Admitted: true, Basis: Unbounded}
	}
	a.asked++
	decision := l.decide(now, a)
	if decision.Admitted {
		a.unreported++
	}
	a.recent.add(now, l.config.Window, decision.Admitted)
	decision.Report = a.unreported >= l.reportAt(a)
	return decision
}

func (l *Ledger) decide(now time.Time, a *account) Decision {
	rate, capacity := a.quota.Rate/l.processes, l.ownCapacity(a)
	a.own.fill(now, rate, capacity)
	unanswered := a.unreported >= unansweredReports*l.reportAt(a)
	if l.failed || l.CutOff(now) || unanswered {
		l.beginAlone(a)
		return Decision{Admitted: a.own.take(), Basis: OwnShare, RetryAfter: a.own.wait(rate)}
	}
	a.alone = false
	if a.admit >= 1 {
		return Decision{Admitted: true, Basis: WithinPool}
	}
	a.due += a.admit
	if a.due < 1 {
		return Decision{Basis: ShareOfAll}
	}
	a.due--
	return Decision{Admitted: true, Basis: ShareOfAll}
}

// beginAlone bounds what a process admits at once when it falls back to its equal share:
// its part of the burst, and of some of the tolerance. Of a small tenant that is less than
// one request, which some processes admit by chance.
func (l *Ledger) beginAlone(a *account) {
	if a.alone {
		return
	}
	a.alone = true
	atOnce := (a.quota.Burst + aloneTolerance*l.config.tolerance(a.quota)) / l.processes
	a.own.level = min(a.own.level, atOnce+a.random.Float64())
}

// aloneTolerance is the part of the tolerance that is for processes which fall back to
// their equal shares.
const aloneTolerance = 0.3

// Bounds of what is admitted without an answer.
const (
	// leastUnreported is the least number of requests of a tenant at which a process
	// reports ahead of time. With fewer, each request of the many small tenants would
	// make a report.
	leastUnreported = 3
	// unansweredReports is the number of such reports that may be on their way.
	unansweredReports = 2
)

// reportAt is the number of unreported requests at which a process reports ahead of time:
// if all processes admit so many, the tolerance is used up.
func (l *Ledger) reportAt(a *account) int {
	return max(int(l.config.tolerance(a.quota)/l.processes), leastUnreported)
}

// ownCapacity is the burst of the equal share, rounded up: of a small tenant, one request.
func (l *Ledger) ownCapacity(a *account) float64 { return a.quota.Burst/l.processes + 1 }

// Waits reports whether no report has been answered yet, as in a process that has just
// started.
func (l *Ledger) Waits() bool { return l.heard.IsZero() }

// CutOff reports whether the process has not been answered for so long that others count
// it as silent.
func (l *Ledger) CutOff(now time.Time) bool {
	return l.heard.IsZero() || now.Sub(l.heard) > l.config.silence()
}

// Refund takes an admitted request back, which did not run.
func (l *Ledger) Refund(tenant string) {
	// What was reported already is lost: the tenant gets it back with its rate.
	if a, bounded := l.accounts[tenant]; bounded && a.unreported > 0 {
		a.unreported--
	}
}

// Begin returns what is to be reported. The report must be ended before another begins.
func (l *Ledger) Begin(process string) Report {
	report := Report{Process: process, Alone: l.failed}
	l.reporting = map[string]Usage{}
	for tenant, a := range l.accounts {
		if a.asked == 0 && a.unreported == 0 {
			continue
		}
		usage := Usage{Tenant: tenant, Admitted: a.unreported, Asked: a.asked, Narrowed: a.admit < 1}
		report.Usage = append(report.Usage, usage)
		l.reporting[tenant] = usage
	}
	return report
}

// Answered ends a report that was answered, and takes the answer. asked is when the
// report was sent. It returns the tenants of which only a share is admitted from now on,
// and those of which everything is again.
func (l *Ledger) Answered(asked time.Time, answer Answer) (changed []Share) {
	l.failed = false
	if !answer.Again || !l.heard.IsZero() {
		// A process that has just started goes by its equal shares until its coordinator
		// can judge: after a mass kill, nobody knows who is near a quota.
		l.heard = asked
	}
	for tenant, usage := range l.reporting {
		if a, bounded := l.accounts[tenant]; bounded {
			a.unreported = max(a.unreported-usage.Admitted, 0)
			a.asked = max(a.asked-usage.Asked, 0)
		}
	}
	l.reporting = nil
	admits := make(map[string]float64, len(answer.Shares))
	for _, share := range answer.Shares {
		admits[share.Tenant] = share.Admit
	}
	for tenant, a := range l.accounts {
		admit, narrowed := admits[tenant]
		if !narrowed {
			admit = 1
		}
		if (admit < 1) != (a.admit < 1) {
			changed = append(changed, Share{Tenant: tenant, Admit: admit})
			a.due = a.random.Float64() // so that processes do not admit in step
		}
		a.admit = admit
	}
	return changed
}

// Failed ends a report that was not answered. What it told is reported again; if it had
// arrived, it counts twice, which refuses a little more than needed.
func (l *Ledger) Failed() { l.reporting, l.failed = nil, true }

// State is what one process knows of the quota of one tenant.
type State struct {
	Tenant string  `json:"tenant"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	// Admitted and Refused are the requests of about the last window at this process.
	// Those that were taken back count as admitted.
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	// Admit is the share of the requests that is admitted now.
	Admit float64 `json:"admit"`
}

// States returns what is known of all tenants with a quota, by name.
func (l *Ledger) States(now time.Time) []State {
	states := make([]State, 0, len(l.accounts))
	for tenant, a := range l.accounts {
		admitted, refused := a.recent.sum(now, l.config.Window)
		states = append(states, State{Tenant: tenant, Rate: a.quota.Rate, Burst: a.quota.Burst,
			Admitted: admitted, Refused: refused, Admit: a.admit})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Tenant, b.Tenant) })
	return states
}
