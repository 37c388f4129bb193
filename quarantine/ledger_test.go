package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

// crashOf returns the report of a crash with the given requests in flight.
func crashOf(id string, requests ...string) CrashReport {
	report := CrashReport{ID: id}
	for _, request := range requests {
		report.Suspects = append(report.Suspects, signatureOf(request))
	}
	return report
}

// crashCount returns the number of crashes that a request is suspected of.
func crashCount(ledger *Ledger, signature Signature) int { return len(ledger.SuspectedOf(signature)) }

func never() bool  { return false }
func always() bool { return true }

// refused reports whether a ledger refuses a request at the given time after the start.
func refused(ledger *Ledger, after time.Duration, request string) bool {
	verdict, _ := ledger.Decide(start.Add(after), signatureOf(request), never)
	return verdict == Refuse
}

func TestQuarantineThreshold(t *testing.T) {
	cases := []struct {
		name    string
		crashes []CrashReport
		refused []string
		free    []string
	}{
		{"no crash", nil, nil, []string{"x"}},
		{"two crashes", []CrashReport{crashOf("a", "x"), crashOf("b", "x")}, nil, []string{"x"}},
		{"three crashes", []CrashReport{crashOf("a", "x"), crashOf("b", "x"), crashOf("c", "x")}, []string{"x"}, nil},
		{"others in flight in one or two of the crashes",
			[]CrashReport{crashOf("a", "x", "y"), crashOf("b", "x", "y", "z"), crashOf("c", "z", "x")}, []string{"x"}, []string{"y", "z"}},
		{"crash reported twice", []CrashReport{crashOf("a", "x"), crashOf("b", "x"), crashOf("b", "x"), crashOf("a", "x")}, nil, []string{"x"}},
		{"suspects reported later", []CrashReport{crashOf("a", "x"), crashOf("b", "x"), crashOf("c", "y"), crashOf("c", "x")}, []string{"x"}, []string{"y"}},
		{"crash without an id", []CrashReport{crashOf("a", "x"), crashOf("b", "x"), crashOf("", "x")}, nil, []string{"x"}},
		{"crash in the future", []CrashReport{crashOf("a", "x"), crashOf("b", "x"), {ID: "c", Age: -1, Suspects: crashOf("", "x").Suspects}}, nil, []string{"x"}},
		{"crash older than Keep", []CrashReport{crashOf("a", "x"), crashOf("b", "x"), {ID: "c", Age: defaultKeep.Milliseconds(), Suspects: crashOf("", "x").Suspects}}, nil, []string{"x"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ledger := NewLedger(Config{})
			for _, report := range c.crashes {
				ledger.Report(start, report)
			}
			for _, request := range c.refused {
				is.True(refused(ledger, 0, request))
			}
			for _, request := range c.free {
				is.True(!refused(ledger, 0, request))
			}
		})
	}
}

// withQuarantined returns a ledger in which the request "x" is quarantined from the start.
func withQuarantined(t *testing.T) *Ledger {
	t.Helper()
	ledger := NewLedger(Config{})
	for _, id := range []string{"a", "b", "c"} {
		ledger.Report(start, crashOf(id, "x", "of "+id))
	}
	is.New(t).True(refused(ledger, 0, "x"))
	return ledger
}

func TestReportReturnsChanges(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger(Config{})
	for _, id := range []string{"a", "b"} {
		isNew, quarantined := ledger.Report(start, crashOf(id, "x"))
		is.True(isNew)
		is.Equal(len(quarantined), 0)
	}
	isNew, quarantined := ledger.Report(start, crashOf("c", "x", "y"))
	is.True(isNew)
	is.Equal(quarantined, []Signature{signatureOf("x")})
	isNew, quarantined = ledger.Report(start, crashOf("c", "x", "y"))
	is.True(!isNew)
	is.Equal(len(quarantined), 0)
}

func TestAnswerClearsRequest(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger(Config{})
	ledger.Report(start, crashOf("a", "x", "y"))
	ledger.Report(start, crashOf("b", "x"))
	cleared := ledger.ClearSuspicion(start, signatureOf("x"))
	is.Equal(len(cleared), 2)
	is.Equal(crashCount(ledger, signatureOf("x")), 0)
	is.Equal(crashCount(ledger, signatureOf("y")), 1) // not answered

	// Two more crashes do not reach the threshold, even if an earlier one is reported again.
	ledger.Report(start, crashOf("c", "x"))
	ledger.Report(start, crashOf("d", "x"))
	ledger.Report(start, crashOf("a", "x", "y"))
	is.True(!refused(ledger, 0, "x"))

	// The returned reports clear the request at other processes.
	other := NewLedger(Config{})
	for _, id := range []string{"a", "b", "c"} {
		other.Report(start, crashOf(id, "x"))
	}
	is.True(refused(other, 0, "x"))
	for _, report := range cleared {
		isNew, _ := other.Report(start, report)
		is.True(isNew)
	}
	is.True(!refused(other, 0, "x"))
}

func TestQuarantineTimeDoubles(t *testing.T) {
	is := is.New(t)
	ledger := withQuarantined(t)
	is.True(refused(ledger, defaultPeriod-second, "x"))
	verdict, _ := ledger.Decide(start.Add(defaultPeriod), signatureOf("x"), always)
	is.Equal(verdict, Trial)
	ledger.EndTrial(signatureOf("x"))

	// The trial crashes another back end, which doubles the quarantine time.
	at := start.Add(defaultPeriod)
	ledger.Report(at, crashOf("d", "x"))
	verdict, left := ledger.Decide(at, signatureOf("x"), always)
	is.Equal(verdict, Refuse)
	is.Equal(left, 2*defaultPeriod)
	is.Equal(ledger.quarantineTime(1000), defaultKeep)
}

func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	ledger := withQuarantined(t)
	later := start.Add(defaultPeriod)
	verdict, wait := ledger.Decide(later, signatureOf("x"), never)
	is.Equal(verdict, Refuse) // another node runs the trials
	is.Equal(wait, trialRetryAfter)
	verdict, _ = ledger.Decide(later, signatureOf("x"), always)
	is.Equal(verdict, Trial)
	verdict, _ = ledger.Decide(later, signatureOf("x"), always)
	is.Equal(verdict, Refuse)
	ledger.EndTrial(signatureOf("x"))
	verdict, _ = ledger.Decide(later, signatureOf("x"), always)
	is.Equal(verdict, Trial)
	ledger.ClearSuspicion(later, signatureOf("x"))
	verdict, _ = ledger.Decide(later, signatureOf("x"), never)
	is.Equal(verdict, Admit)
}

func TestCrashesExpire(t *testing.T) {
	is := is.New(t)
	ledger := withQuarantined(t)
	ledger.Expire(start.Add(defaultKeep - 1))
	is.True(ledger.HasSuspects())
	ledger.Expire(start.Add(defaultKeep))
	is.True(!ledger.HasSuspects())
	is.Equal(len(ledger.All(start)), 0)
	is.Equal(ledger.Digest(start), uint64(0))
}

// TestImpossibleAgesAreIgnored guards against an age that is so large that it overflows to a small
// one.
func TestImpossibleAgesAreIgnored(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger(Config{})
	for _, age := range []int64{-1, defaultKeep.Milliseconds(), 18446744073710, math.MaxInt64, math.MinInt64} {
		isNew, _ := ledger.Report(start, CrashReport{ID: "i", Age: age, Suspects: []Signature{{1}}})
		is.True(!isNew)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	ledger := NewLedger(Config{})
	for i := range 3 * maximumCrashes {
		report := CrashReport{ID: fmt.Sprint(i)}
		for j := range 2 * maximumSuspectsPerCrash {
			report.Suspects = append(report.Suspects, signatureOf(fmt.Sprint(i, j)))
		}
		ledger.Report(start.Add(time.Duration(i)), report)
	}
	is.Equal(len(ledger.crashes), maximumEntries/maximumSuspectsPerCrash) // limited by the number of requests
	is.Equal(ledger.entryCount, maximumEntries)
	is.Equal(len(ledger.suspects), maximumEntries)
	_, newest := ledger.crashes[fmt.Sprint(3*maximumCrashes-1)]
	is.True(newest)

	small := NewLedger(Config{})
	for i := range 3 * maximumCrashes {
		small.Report(start.Add(time.Duration(i)), crashOf(fmt.Sprint(i), fmt.Sprint(i)))
	}
	is.Equal(len(small.crashes), maximumCrashes)
	is.Equal(len(small.suspects), maximumCrashes)
	is.Equal(small.entryCount, maximumCrashes)
}

func TestOnlyQuarantinedRequestsAreSaved(t *testing.T) {
	is := is.New(t)
	restarted := NewLedger(Config{})
	for _, report := range withQuarantined(t).CrashesOfQuarantined(start) {
		restarted.Report(start, report)
	}
	is.True(refused(restarted, 0, "x"))
	is.Equal(crashCount(restarted, signatureOf("of a")), 0)
}

// TestLedgersConverge guards against processes that decide differently, or have different
// digests, after merging the same reports in different orders.
func TestLedgersConverge(t *testing.T) {
	const processes, events, requests = 5, 60, 12
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		ledgers := make([]*Ledger, processes)
		for i := range ledgers {
			ledgers[i] = NewLedger(Config{})
		}
		for i := range events {
			now := start.Add(time.Duration(i) * second)
			at := ledgers[random.IntN(processes)]
			switch random.IntN(4) {
			case 0:
				at.ClearSuspicion(now, signatureOf(fmt.Sprint(random.IntN(requests))))
			case 1:
				for _, report := range ledgers[random.IntN(processes)].All(now) {
					at.Report(now, report)
				}
			default:
				at.Report(now, crashOf(fmt.Sprint(random.IntN(events)), fmt.Sprint(random.IntN(requests)), fmt.Sprint(random.IntN(requests))))
			}
		}
		now := start.Add(events * second)
		for range 2 {
			for _, from := range ledgers {
				for _, to := range ledgers {
					for _, report := range from.All(now) {
						to.Report(now, report)
					}
				}
			}
		}
		for _, ledger := range ledgers[1:] {
			if ledger.Digest(now) != ledgers[0].Digest(now) {
				t.Fatalf("seed %d: digests differ", seed)
			}
			for request := range requests {
				signature := signatureOf(fmt.Sprint(request))
				if crashCount(ledger, signature) != crashCount(ledgers[0], signature) {
					t.Fatalf("seed %d: request %d is suspected of %d and %d crashes", seed, request, crashCount(ledger, signature), crashCount(ledgers[0], signature))
				}
			}
		}
		ledgers[0].Report(now, crashOf("another", "0"))
		if ledgers[0].Digest(now) == ledgers[1].Digest(now) {
			t.Fatalf("seed %d: digests are equal although one ledger has another crash", seed)
		}
	}
}
