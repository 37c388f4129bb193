// Package cli implements the command line of loomcleat.
//
// It defines the commands and flags, the output of commands and their exit statuses. It
// relies on package daemon to run processes, on package policy/editor to edit the policy
// tree in the store, and on the control addresses of processes to query a running mesh.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/loomcleat/loomcleat/result"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2 // invalid command line or settings
)

// commandLine defines the commands for kong.
type commandLine struct {
	Node    nodeCommand    `cmd:"" help:"Run the node beside one back end."`
	Gateway gatewayCommand `cmd:"" help:"Run the door for callers."`
	Config  configCommand  `cmd:"" help:"Read and edit the policy tree in the store."`
	Status  statusCommand  `cmd:"" help:"Show the processes of a mesh and the policy revision that each has."`
	Tenants tenantsCommand `cmd:"" help:"Show what tenants use of their quotas, over all processes of a mesh."`
	Explain explainCommand `cmd:"" help:"Tell from logs what became of a request, and why."`
	Demo    demoCommand    `cmd:"" help:"Run a small mesh with stand-ins inside this process."`
}

const description = `loomcleat admits, delays, retries or refuses calls between services when demand
exceeds capacity, according to a policy tree that operators edit.

  loomcleat demo                       a small mesh for trying it out
  loomcleat node --config node.yaml    beside each back end
  loomcleat gateway --config gw.yaml   the entry for callers' requests
  loomcleat config set --store http://127.0.0.1:8500 sales/cabins/booking class=critical
  loomcleat explain ID node-*.log      what happened to a request

Errors are numbered (docs/RESULTS.md), log events too (docs/EVENTS.md). Exit
status: 0 done, 1 failed, 2 wrong command line or settings.`

// streams are the outputs of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// Run runs the command line and returns the exit status.
func Run(arguments []string) int {
	output := &streams{out: os.Stdout, err: os.Stderr}
	var grammar commandLine
	exited := false
	parser, err := kong.New(&grammar, kong.Name("loomcleat"), kong.Description(description),
		kong.UsageOnError(), kong.Bind(output), kong.Exit(func(int) { exited = true }))
	if err != nil {
		return report(output, err)
	}
	context, err := parser.Parse(arguments)
	if exited {
		return exitOK // help was shown
	}
	if err != nil {
		return report(output, result.Wrap(result.UsageInvalid, err, "see loomcleat --help"))
	}
	return report(output, context.Run())
}

// report prints an error, unless it is nil, and returns the exit status.
func report(output *streams, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(output.err, "loomcleat:", err)
	var typed *result.Error
	if errors.As(err, &typed) && (typed.Code == result.SettingsInvalid || typed.Code == result.UsageInvalid) {
		return exitUsage
	}
	return exitFailure
}
