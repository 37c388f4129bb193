package emulator

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// short returns a scenario that is played for a shorter time.
func short(t *testing.T, name string) Scenario {
	t.Helper()
	scenario, exists := FindScenario(name)
	if !exists {
		t.Fatalf("there is no scenario %q", name)
	}
	scenario.begin, scenario.end, scenario.finish = faultBegin/2, faultEnd/4+faultBegin/2, faultEnd/2
	return scenario
}

func arm(t *testing.T, name string) Arm {
	t.Helper()
	found, exists := FindArm(name)
	if !exists {
		t.Fatalf("there is no arm %q", name)
	}
	return found
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	is := is.New(t)
	first := Play(short(t, "demand-3"), arm(t, "loomcleat"), 5)
	second := Play(short(t, "demand-3"), arm(t, "loomcleat"), 5)
	is.True(reflect.DeepEqual(first, second))
}

// TestOverload states what the decision code must reach in virtual time. The
// seeds are fixed, so that the verdict is the same in each run.
func TestOverload(t *testing.T) {
	cases := []struct {
		scenario string
		goodput  float64 // at least, of the perfect shedder
		critical float64 // at least, success of critical requests
		wasted   float64 // at most
	}{
		{"normal", 0.98, 0.99, 0.01},
		{"demand-1.5", 0.93, 0.99, 0.10},
		{"demand-3", 0.93, 0.98, 0.15},
		{"trigger", 0.80, 0.75, 0.20},
	}
	for _, c := range cases {
		t.Run(c.scenario, func(t *testing.T) {
			is := is.New(t)
			result := Play(short(t, c.scenario), arm(t, "loomcleat"), 1)
			t.Logf("%+v", result)
			is.True(result.Goodput >= c.goodput)
			is.True(result.Classes[0].Success >= c.critical)
			is.True(result.Wasted <= c.wasted)
			is.True(result.Recovery >= 0 && result.Recovery <= 3)
		})
	}
}

// TestTheTriggerBringsDownWhatHasNoControl shows the fault first.
func TestTheTriggerBringsDownWhatHasNoControl(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"none", "naive"} {
		result := Play(short(t, "trigger"), arm(t, name), 1)
		is.True(result.Goodput < 0.3)
	}
}
