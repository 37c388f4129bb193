// Package labcli implements the command line of loomcleat-lab, which replays traces and
// runs soak tests. It is not needed in production.
package labcli

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commandLine defines the commands for kong.
type commandLine struct {
	Replay replayCommand `cmd:"" help:"Play recorded traces through the decision code."`
	Soak   soakCommand   `cmd:"" help:"Run real processes under faults and check the promises."`
}

// Run runs the command line and returns the exit status.
func Run(arguments []string) int {
	var grammar commandLine
	exited := false
	parser, err := kong.New(&grammar, kong.Name("loomcleat-lab"), kong.UsageOnError(),
		kong.Description("Trace replays and soak tests for loomcleat. Not needed in production."),
		kong.Exit(func(int) { exited = true }))
	if err != nil {
		fmt.Fprintln(os.Stderr, "loomcleat-lab:", err)
		return 1
	}
	parsed, err := parser.Parse(arguments)
	if exited {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "loomcleat-lab:", err)
		return 2
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "loomcleat-lab:", err)
		return 1
	}
	return 0
}
