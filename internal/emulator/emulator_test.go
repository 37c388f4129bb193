package emulator

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

const load = 0.7 // of capacity, before and after the fault

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	is := is.New(t)
	s := scenario{load: load, surge: 3, slow: 1}
	is.True(reflect.DeepEqual(play(s, 5), play(s, 5)))
}

// TestOverload states what the decision code must reach in virtual time. The
// seeds are fixed, so that the verdict is the same in each run.
func TestOverload(t *testing.T) {
	cases := []struct {
		scenario
		goodput  float64 // at least
		critical float64 // at least, success of critical requests
		wasted   float64 // at most
	}{
		{scenario{name: "normal", load: load, surge: load, slow: 1}, 0.98, 0.99, 0.01},
		{scenario{name: "demand-1.5", load: load, surge: 1.5, slow: 1}, 0.93, 0.99, 0.10},
		{scenario{name: "demand-3", load: load, surge: 3, slow: 1}, 0.93, 0.98, 0.15},
		{scenario{name: "trigger", load: load, surge: 1.4, slow: 5, retry: true}, 0.80, 0.75, 0.20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			result := play(c.scenario, 1)
			t.Logf("%+v", result)
			is.True(result.goodput >= c.goodput)
			is.True(result.classes[0].success >= c.critical)
			is.True(result.wasted <= c.wasted)
			is.True(result.recovery >= 0 && result.recovery <= 3)
		})
	}
}
