package labcli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/loomcleat/loomcleat/internal/emulator"
)

type experimentCommand struct {
	Name string   `arg:"" optional:"" help:"Scenario; see --list. 'all' plays all."`
	List bool     `help:"List scenarios and arms."`
	Arms []string `help:"Arms to play. Default: all."`
	Seed uint64   `help:"Seed; the same seed gives the same result." default:"1"`
	Runs int      `help:"Seeds to play, beginning with --seed; the table shows each." default:"1"`
	JSON bool     `help:"One JSON object for each arm."`
}

// Run plays scenarios in virtual time.
func (c *experimentCommand) Run() error {
	if c.List || c.Name == "" {
		c.list()
		return nil
	}
	scenarios := emulator.Scenarios
	if c.Name != "all" {
		found, exists := emulator.FindScenario(c.Name)
		if !exists {
			return fmt.Errorf("there is no scenario %q; see --list", c.Name)
		}
		scenarios = []emulator.Scenario{found}
	}
	arms, err := c.arms()
	if err != nil {
		return err
	}
	results := []emulator.Result{}
	for _, scenario := range scenarios {
		for _, arm := range arms {
			for run := range c.Runs {
				results = append(results, emulator.Play(scenario, arm, c.Seed+uint64(run)))
			}
		}
	}
	return c.print(results)
}

func (c *experimentCommand) list() {
	fmt.Println("scenarios:")
	for _, scenario := range emulator.Scenarios {
		fmt.Printf("  %-11s %s\n", scenario.Name, scenario.Text)
	}
	fmt.Println("arms:")
	for _, arm := range emulator.Arms {
		fmt.Printf("  %-11s %s\n", arm.Name, arm.Text)
	}
}

func (c *experimentCommand) arms() ([]emulator.Arm, error) {
	if len(c.Arms) == 0 {
		return emulator.Arms, nil
	}
	arms := []emulator.Arm{}
	for _, name := range c.Arms {
		arm, exists := emulator.FindArm(name)
		if !exists {
			return nil, fmt.Errorf("there is no arm %q; see --list", name)
		}
		arms = append(arms, arm)
	}
	return arms, nil
}

func (c *experimentCommand) print(results []emulator.Result) error {
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		for _, result := range results {
			if err := encoder.Encode(result); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tarm\tseed\tgoodput\trecovery s\twasted\tretries\tsuccess by class")
	for _, r := range results {
		classes := []string{}
		for _, class := range r.Classes {
			classes = append(classes, fmt.Sprintf("%s %.3f", class.Class, class.Success))
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.1f\t%.3f\t%.3f\t%s\n", r.Scenario, r.Arm, r.Seed, r.Goodput, r.Recovery, r.Wasted, r.Retries, strings.Join(classes, ", "))
	}
	return table.Flush()
}
