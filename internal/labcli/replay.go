package labcli

import (
	"fmt"

	"github.com/loomcleat/loomcleat/internal/replay"
)

type replayCommand struct {
	Files []string `arg:"" help:"Traces (YAML)." type:"existingfile"`
}

// Run replays traces. It fails if the outcome of a trace differs from the expected one.
func (c *replayCommand) Run() error {
	failed := 0
	for _, file := range c.Files {
		trace, err := replay.Load(file)
		if err != nil {
			return err
		}
		mismatches, err := replay.Run(trace)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		for _, mismatch := range mismatches {
			fmt.Printf("%s: %s\n", file, mismatch)
		}
		if len(mismatches) > 0 {
			failed++
			continue
		}
		fmt.Printf("%s: as stated (%s)\n", file, trace.Name)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d traces did not lead to the expected outcome", failed, len(c.Files))
	}
	return nil
}
