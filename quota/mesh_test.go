package quota

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation is a simulated mesh in virtual time. Its processes admit the requests of
// tenants and report to a coordinator; faults partition, kill and freeze them.
type simulation struct {
	config    Config
	processes int
	tenants   map[string]Quota
	// Total demand of a tenant over all processes, in requests per second.
	demand func(at time.Duration, tenant string) float64
	length time.Duration
	faults []fault
	seed   uint64
	// Maximum delay of a report, and of an answer.
	delay time.Duration
	// Disables reports: each process uses its equal share.
	withoutReports bool
	// Time after which a partitioned process admits nothing, 0 for no such limit.
	stopsAfter time.Duration
	// Counts the bytes of reports and answers.
	measure bool
	// Disables a safeguard of a process before each step. May be nil.
	disableSafeguard func(*member)
}

// fault affects a share of the processes for some time.
type fault struct {
	kind  faultKind
	from  time.Duration
	until time.Duration
	// Share of the processes affected.
	share float64
	// Whether the coordinator is among them.
	withCoordinator bool
}

type faultKind int

const (
	partitioned faultKind = iota // no messages in either direction
	inboundLost                  // outgoing messages arrive, incoming ones are lost
	killed                       // stopped, and restarted without state at the end of the fault
	frozen                       // suspended, and so are their connections
)

// outcome is the result of a simulation, by tenant.
type outcome struct {
	admitted map[string][]time.Duration
	offered  map[string][]time.Duration
	reports  int
	bytes    int // Size of all reports and answers as JSON, 0 unless simulation.measure is set.
}

const step = 10 * time.Millisecond

// member is one process of a simulation.
type member struct {
	limiter     *Limiter
	coordinator *Coordinator
	// Time of the next report.
	nextReport time.Duration
	// Time at which the report in flight completes, and its completion.
	busyUntil time.Duration
	pending   func(now time.Time)
	// Members that did not answer, with the time until which they are avoided.
	avoidedUntil     map[int]time.Duration
	down             bool
	paused           bool
	partitionedSince time.Duration
	isPartitioned    bool
	losesInbound     bool
	nextEarlyReport  time.Duration
}

var startTime = time.Unix(1000, 0)

func (s *simulation) run() outcome {
	random := rand.New(rand.NewPCG(s.seed, 7))
	result := outcome{admitted: map[string][]time.Duration{}, offered: map[string][]time.Duration{}}
	members := make([]*member, s.processes)
	start := func(i int, at time.Duration) {
		limiter, coordinator := NewLimiter(s.config, random.Uint64()), NewCoordinator(s.config)
		limiter.SetProcesses(s.processes)
		coordinator.SetProcesses(s.processes)
		limiter.SetQuotas(startTime.Add(at), s.tenants)
		coordinator.SetQuotas(s.tenants)
		members[i] = &member{limiter: limiter, coordinator: coordinator, avoidedUntil: map[int]time.Duration{},
			nextReport: at + time.Duration(random.Int64N(int64(s.config.Interval)))}
	}
	for i := range members {
		start(i, 0)
	}
	names := []string{}
	for tenant := range s.tenants {
		names = append(names, tenant)
	}
	slices.Sort(names)
	for at := time.Duration(0); at < s.length; at += step {
		now := startTime.Add(at)
		s.applyFaults(members, at, start)
		for _, m := range members {
			if s.disableSafeguard != nil {
				s.disableSafeguard(m)
			}
		}
		for _, tenant := range names {
			mean := s.demand(at, tenant) * step.Seconds()
			for range poisson(random, mean) {
				m := members[random.IntN(len(members))]
				if m.down || m.paused {
					continue
				}
				result.offered[tenant] = append(result.offered[tenant], at)
				if s.stopsAfter > 0 && m.isPartitioned && at-m.partitionedSince > s.stopsAfter {
					continue
				}
				decision := m.limiter.Admit(now, tenant)
				if decision.Admitted {
					result.admitted[tenant] = append(result.admitted[tenant], at)
				}
				if decision.Report && m.nextEarlyReport <= at {
					m.nextReport = min(m.nextReport, at)
					m.nextEarlyReport = at + reportPause
				}
			}
		}
		if s.withoutReports {
			continue
		}
		for i, m := range members {
			s.report(members, i, m, at, random, &result)
		}
	}
	return result
}

// reportPause is the minimum time between two reports ahead of time.
const reportPause = 30 * time.Millisecond

// applyFaults begins and ends faults.
func (s *simulation) applyFaults(members []*member, at time.Duration, start func(int, time.Duration)) {
	for _, f := range s.faults {
		count := int(f.share * float64(len(members)))
		for i := range count {
			affected := int(float64(i) / f.share) // evenly spread over the members
			if !f.withCoordinator {
				affected = len(members) - 1 - affected
			}
			m := members[affected]
			begins, ends := at == f.from, at == f.until
			if !begins && !ends {
				continue
			}
			switch f.kind {
			case partitioned:
				m.isPartitioned, m.partitionedSince = begins, at
			case inboundLost:
				m.losesInbound = begins
			case frozen:
				m.paused = begins
			case killed:
				m.down = begins
				if ends {
					start(affected, at)
					members[affected].nextReport = at // a restarted process reports at once
				}
			}
		}
	}
}

// report completes the report of one process that is due, and begins its next one.
func (s *simulation) report(members []*member, self int, m *member, at time.Duration, random *rand.Rand, result *outcome) {
	if m.down || m.paused {
		return
	}
	if m.pending != nil && at >= m.busyUntil {
		complete := m.pending
		m.pending = nil
		complete(startTime.Add(at))
	}
	if m.pending != nil || at < m.nextReport {
		return
	}
	m.nextReport = at + s.config.Interval
	coordinator := 0
	for coordinator < len(members)-1 && m.avoidedUntil[coordinator] > at {
		coordinator++
	}
	receiver := members[coordinator]
	report := m.limiter.BeginReport(fmt.Sprint(self))
	result.reports++
	reportArrives := coordinator == self || (!receiver.down && !receiver.paused && !m.isPartitioned && !receiver.isPartitioned)
	answerArrives := reportArrives && (coordinator == self || (!m.losesInbound && !receiver.losesInbound))
	var answer Answer
	if reportArrives && (coordinator == self || !receiver.losesInbound) {
		answer = receiver.coordinator.Receive(startTime.Add(at), report)
	}
	if s.measure {
		result.bytes += encodedSize(report) + encodedSize(answer)
	}
	if !answerArrives {
		m.busyUntil = at + answerTimeout
		m.pending = func(time.Time) {
			m.limiter.ReportFailed()
			m.avoidedUntil[coordinator] = at + time.Second
			m.nextReport = at + answerTimeout
		}
		return
	}
	m.busyUntil = at + time.Duration(random.Int64N(int64(s.delay)+1))
	if answer.ReportAgain {
		m.nextReport = at + ReportAgainDelay
	}
	m.pending = func(time.Time) { m.limiter.ReportAnswered(startTime.Add(at), answer) }
}

const answerTimeout = 200 * time.Millisecond

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
		count++
	}
	return count
}

// maximumInWindow returns the maximum number of times within any span of the given length.
func maximumInWindow(times []time.Duration, window time.Duration) int {
	maximum, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= window {
			first++
		}
		maximum = max(maximum, last-first+1)
	}
	return maximum
}

// maximumAllowed returns the maximum number of requests allowed in a window.
func maximumAllowed(config Config, quota Quota) float64 {
	return quota.Rate*config.Window.Seconds() + quota.Burst + config.tolerance(quota)
}

// countWithinQuota returns the number of offered requests that the quota allows.
func countWithinQuota(offered []time.Duration, quota Quota) int {
	b := bucket{level: quota.Burst, updated: startTime}
	count := 0
	for _, at := range offered {
		b.fill(startTime.Add(at), quota.Rate, max(quota.Burst, 1))
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
