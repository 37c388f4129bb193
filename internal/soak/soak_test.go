package soak

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
)

// TestSoak guards the invariants under half a minute of faults from a fixed seed. Longer soaks
// are run with loomcleat-lab soak.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "loomcleat")
	build := exec.Command("go", "build", "-tags", "suspendedclock", "-o", program, "../../cmd/loomcleat")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, output)
	}
	report, err := Run(t.Context(), Config{Program: program, Folder: t.TempDir(), Nodes: minimumNodes, Seed: 1, Duration: 30 * time.Second, Log: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("sent %v, served %v, back ends crashed by each crashing request %v", report.Sent, report.Served, report.Crashes)
	for _, violation := range report.Violations {
		t.Errorf("%.3f s: %s: %s", violation.At.Seconds(), violation.Invariant, violation.What)
	}
}

func TestInvalidConfig(t *testing.T) {
	cases := []struct {
		name   string
		config Config
	}{
		{"no program", Config{}},
		{"too few nodes", Config{Program: "soak_test.go", Nodes: minimumNodes - 1}},
		{"too many nodes", Config{Program: "soak_test.go", Nodes: maximumNodes + 1}},
		{"unknown fault", Config{Program: "soak_test.go", Faults: []string{"kill", "earthquake"}}},
		{"too short", Config{Program: "soak_test.go", Duration: time.Second}},
		{"too long", Config{Program: "soak_test.go", Duration: 48 * time.Hour}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Run(t.Context(), c.config)
			var typed *result.Error
			is.True(errors.As(err, &typed))
			is.Equal(typed.Code, result.UsageInvalid)
		})
	}
}
