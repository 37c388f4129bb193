package quota

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// play is a mesh in virtual time: processes that admit the requests of tenants, report
// to a coordinator, and are cut off, killed and frozen.
type play struct {
	config    Config
	processes int
	tenants   map[string]Quota
	demand    func(at time.Duration, tenant string) float64 // requests a second, of all processes
	length    time.Duration
	faults    []fault
	seed      uint64
	// delay is the time that a report and an answer each take at most.
	delay time.Duration
	// alone switches reports off: each process keeps to its equal share.
	alone bool
	// stopsAfter is the time after which a process that is cut off admits nothing, 0: it
	// goes on.
	stopsAfter time.Duration
	// measure counts the bytes of reports and answers.
	measure bool
	// weaken takes a safeguard from a process before each step. May be nil.
	weaken func(*member)
}

// fault strikes a part of the processes for a time.
type fault struct {
	kind  faultKind
	from  time.Duration
	until time.Duration
	share float64 // of the processes
	first bool    // the coordinator is among them
}

type faultKind int

const (
	cut    faultKind = iota // nothing gets to them or from them
	deaf                    // what they send arrives, nothing gets to them
	killed                  // they are gone, and know nothing when they are back
	frozen                  // they stand still, and so do their connections
)

// outcome is what a play came to, by tenant.
type outcome struct {
	admitted map[string][]time.Duration
	offered  map[string][]time.Duration
	reports  int
	bytes    int // of reports and answers as JSON, when they are measured
}

const step = 10 * time.Millisecond

// member is one process of a play.
type member struct {
	ledger      *Ledger
	coordinator *Coordinator
	next        time.Duration // report
	busy        time.Duration // a report is on its way until then
	pending     func(now time.Time)
	skipped     map[int]time.Duration // peers that did not answer
	gone        bool
	still       bool
	cutSince    time.Duration
	isCut       bool
	isDeaf      bool
	leastAhead  time.Duration
}

var epoch = time.Unix(1000, 0)

func (p *play) run() outcome {
	random := rand.New(rand.NewPCG(p.seed, 7))
	result := outcome{admitted: map[string][]time.Duration{}, offered: map[string][]time.Duration{}}
	members := make([]*member, p.processes)
	start := func(i int, at time.Duration) {
		ledger, coordinator := NewLedger(p.config, random.Uint64()), NewCoordinator(p.config)
		ledger.SetProcesses(p.processes)
		coordinator.SetProcesses(p.processes)
		ledger.SetQuotas(epoch.Add(at), p.tenants)
		coordinator.SetQuotas(p.tenants)
		members[i] = &member{ledger: ledger, coordinator: coordinator, skipped: map[int]time.Duration{},
			next: at + time.Duration(random.Int64N(int64(p.config.Interval)))}
	}
	for i := range members {
		start(i, 0)
	}
	names := []string{}
	for tenant := range p.tenants {
		names = append(names, tenant)
	}
	slices.Sort(names)
	for at := time.Duration(0); at < p.length; at += step {
		now := epoch.Add(at)
		p.strike(members, at, start)
		for _, m := range members {
			if p.weaken != nil {
				p.weaken(m)
			}
		}
		for _, tenant := range names {
			mean := p.demand(at, tenant) * step.Seconds()
			for range poisson(random, mean) {
				m := members[random.IntN(len(members))]
				if m.gone || m.still {
					continue
				}
				result.offered[tenant] = append(result.offered[tenant], at)
				if p.stopsAfter > 0 && m.isCut && at-m.cutSince > p.stopsAfter {
					continue
				}
				decision := m.ledger.Admit(now, tenant)
				if decision.Admitted {
					result.admitted[tenant] = append(result.admitted[tenant], at)
				}
				if decision.Report && m.leastAhead <= at {
					m.next = min(m.next, at)
					m.leastAhead = at + reportPause
				}
			}
		}
		if p.alone {
			continue
		}
		for i, m := range members {
			p.report(members, i, m, at, random, &result)
		}
	}
	return result
}

// reportPause is the least time between two reports ahead of time.
const reportPause = 30 * time.Millisecond

// strike begins and ends faults.
func (p *play) strike(members []*member, at time.Duration, start func(int, time.Duration)) {
	for _, f := range p.faults {
		count := int(f.share * float64(len(members)))
		for i := range count {
			struck := int(float64(i) / f.share) // spread over all ranks
			if !f.first {
				struck = len(members) - 1 - struck
			}
			m := members[struck]
			begins, ends := at == f.from, at == f.until
			if !begins && !ends {
				continue
			}
			switch f.kind {
			case cut:
				m.isCut, m.cutSince = begins, at
			case deaf:
				m.isDeaf = begins
			case frozen:
				m.still = begins
			case killed:
				m.gone = begins
				if ends {
					start(struck, at)
					members[struck].next = at // one that has just started reports at once
				}
			}
		}
	}
}

// report lets one process make a report, or end one.
func (p *play) report(members []*member, self int, m *member, at time.Duration, random *rand.Rand, result *outcome) {
	if m.gone || m.still {
		return
	}
	if m.pending != nil && at >= m.busy {
		ended := m.pending
		m.pending = nil
		ended(epoch.Add(at))
	}
	if m.pending != nil || at < m.next {
		return
	}
	m.next = at + p.config.Interval
	coordinator := 0
	for coordinator < len(members)-1 && m.skipped[coordinator] > at {
		coordinator++
	}
	to := members[coordinator]
	report := m.ledger.BeginReport(fmt.Sprint(self))
	result.reports++
	reaches := coordinator == self || (!to.gone && !to.still && !m.isCut && !to.isCut)
	hears := reaches && (coordinator == self || (!m.isDeaf && !to.isDeaf))
	var answer Answer
	if reaches && (coordinator == self || !to.isDeaf) {
		answer = to.coordinator.Receive(epoch.Add(at), report)
	}
	if p.measure {
		result.bytes += encodedSize(report) + encodedSize(answer)
	}
	if !hears {
		m.busy = at + answerTimeout
		m.pending = func(time.Time) {
			m.ledger.ReportFailed()
			m.skipped[coordinator] = at + time.Second
			m.next = at + answerTimeout
		}
		return
	}
	m.busy = at + time.Duration(random.Int64N(int64(p.delay)+1))
	if answer.Again {
		m.next = at + AgainTime
	}
	m.pending = func(time.Time) { m.ledger.ReportAnswered(epoch.Add(at), answer) }
}

const answerTimeout = 200 * time.Millisecond

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
		count++
	}
	return count
}

// mostInWindow returns the highest number of times in any span of a length.
func mostInWindow(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// promised returns the most requests that may be in a window.
func promised(config Config, quota Quota) float64 {
	return quota.Rate*config.Window.Seconds() + quota.Burst + config.tolerance(quota)
}

// owed returns how many of the offered requests the quota allows.
func owed(offered []time.Duration, quota Quota) int {
	b := bucket{level: quota.Burst, updated: epoch}
	count := 0
	for _, at := range offered {
		b.fill(epoch.Add(at), quota.Rate, max(quota.Burst, 1))
		if b.take() {
			count++
		}
	}
	return count
}

func encodedSize(message any) int {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(data)
}
