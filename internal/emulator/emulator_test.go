package emulator

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// load is the demand before and after the fault, as a share of capacity.
const load = 0.7

func TestRunsAreDeterministic(t *testing.T) {
	is := is.New(t)
	s := scenario{load: load, surge: 3, slowdown: 1}
	is.True(reflect.DeepEqual(simulate(s, 5), simulate(s, 5)))
}

// TestOverload guards against loss of goodput, failed critical requests, wasted work and
// slow recovery under overload. Fixed seeds make the result the same in each run.
func TestOverload(t *testing.T) {
	cases := []struct {
		scenario
		goodput  float64 // minimum
		critical float64 // minimum success of critical requests
		wasted   float64 // maximum
	}{
		{scenario{name: "normal", load: load, surge: load, slowdown: 1}, 0.98, 0.99, 0.01},
		{scenario{name: "demand-1.5", load: load, surge: 1.5, slowdown: 1}, 0.93, 0.99, 0.10},
		{scenario{name: "demand-3", load: load, surge: 3, slowdown: 1}, 0.93, 0.98, 0.15},
		{scenario{name: "trigger", load: load, surge: 1.4, slowdown: 5, retry: true}, 0.80, 0.75, 0.20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			result := simulate(c.scenario, 1)
			t.Logf("%+v", result)
			is.True(result.goodput >= c.goodput)
			is.True(result.classes[0].success >= c.critical)
			is.True(result.wasted <= c.wasted)
			is.True(result.recovery >= 0 && result.recovery <= 3)
		})
	}
}
