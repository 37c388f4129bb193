// Package labcli is the command line of loomcleat-lab. None of it is needed in
// production.
package labcli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine is the grammar of the command line.
type commandLine struct {
	Profile string `help:"Write a processor profile to this file." type:"path"`

	Replay replayCommand `cmd:"" help:"Play recorded traces through the decision code."`

	Soak soakCommand `cmd:"" help:"Run real processes under faults and check the promises."`
}

// Run runs the command line and returns the exit status.
func Run(arguments []string) int {
	var grammar commandLine
	exited := false
	parser, err := kong.New(&grammar, kong.Name("loomcleat-lab"), kong.UsageOnError(),
		kong.Description("Recorded traces and soaks for loomcleat. Not needed in production."),
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
	stop, err := startProfile(grammar.Profile)
	if err == nil {
		err = parsed.Run()
		stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "loomcleat-lab:", err)
		return 1
	}
	return 0
}

// startProfile writes a processor profile until the returned function is called.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// untilStopped returns a context that ends with SIGTERM or SIGINT.
func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
