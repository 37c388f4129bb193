package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runGate offers rate requests per second to a service that serves capacity requests per
// second and queues the rest. The gate gets the pressure with a delay.
func runGate(gate *Gate, seconds int, rate, capacity float64) (served, admitted float64) {
	const (
		step  = 10 * time.Millisecond
		delay = 50 // steps until the gate gets the pressure
	)
	queue, offered := 0.0, 0.0
	waits := []float64{}
	for i := range seconds * 100 {
		now := epoch.Add(time.Duration(i) * step)
		for offered += rate / 100; offered >= 1; offered-- {
			rank := float64(i*37%101) / 101
			if gate.Admit(now, rank) {
				admitted++
				queue++
			}
		}
		done := min(queue, capacity/100)
		served += done
		queue -= done
		waits = append(waits, queue/capacity/0.05) // in multiples of a queue time of 50ms
		if i >= delay {
			gate.Done(now, waits[i-delay])
		}
	}
	return served, admitted
}

func TestGateAdmitsWhatCanBeServed(t *testing.T) {
	cases := []struct {
		name          string
		rate          float64
		minimumServed float64 // as a share of the smaller of rate and capacity
		maximumShare  float64 // at the end
	}{
		{"below capacity", 80, 0.99, 1},
		{"1.5 times the capacity", 150, 0.9, 0.9},
		{"3 times the capacity", 300, 0.9, 0.5},
		{"10 times the capacity", 1000, 0.9, 0.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			gate := NewGate(epoch)
			served, admitted := runGate(gate, 60, c.rate, 100)
			t.Logf("served %.0f, admitted %.0f, share %.2f", served, admitted, gate.Share())
			is.True(served >= c.minimumServed*60*min(c.rate, 100))
			is.True(gate.Share() <= c.maximumShare)
		})
	}
}

func TestGateReopensAfterPressure(t *testing.T) {
	is := is.New(t)
	gate := NewGate(epoch)
	for i := range 400 {
		gate.Done(epoch.Add(time.Duration(i)*20*ms), 5)
	}
	is.True(gate.Share() < 0.1)
	is.True(!gate.Admit(epoch.Add(8*time.Second), 0.5))
	for i := range 500 {
		gate.Admit(epoch.Add(8*time.Second+time.Duration(i)*20*ms), 0.99)
	}
	is.Equal(gate.Share(), 1.0)
}

// TestGateMovesAlikeWithFewSamples guards against a gate that opens under pressure because
// windows without samples count as free of pressure.
func TestGateMovesAlikeWithFewSamples(t *testing.T) {
	for name, every := range map[string]time.Duration{"many": 10 * ms, "some": 200 * ms, "few": 900 * ms} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := NewGate(epoch)
			now := epoch
			for now.Sub(epoch) < 10*time.Second {
				now = now.Add(every)
				gate.Done(now, 10)
			}
			is.True(gate.Share() < 0.1)
			for now.Sub(epoch) < 25*time.Second {
				now = now.Add(every)
				gate.Done(now, 0)
			}
			is.True(gate.Share() > 0.9)
		})
	}
}

// TestGateReopensAfter checks that the gate admits everything after the time that ReopensAfter
// returns, without pressure.
func TestGateReopensAfter(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	gate := NewGate(now)
	is.Equal(gate.ReopensAfter(), gateWindow) // it is open
	for gate.Share() > 0.4 {
		now = now.Add(gateWindow)
		gate.Done(now, 10)
	}
	reopensAfter := gate.ReopensAfter()
	is.True(reopensAfter > time.Second)
	for end := now.Add(reopensAfter + 2*gateWindow); now.Before(end); {
		now = now.Add(gateWindow)
		gate.Done(now, 0)
	}
	is.Equal(gate.Share(), 1.0)
}
