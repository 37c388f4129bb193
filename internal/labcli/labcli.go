// Package labcli is the command line of loomcleat-lab. None of it is needed in
// production.
package labcli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/loomcleat/loomcleat/internal/standin/backend"
)

// commandLine is the grammar of the command line.
type commandLine struct {
	Profile string `help:"Write a processor profile to this file." type:"path"`

	Backend backendCommand `cmd:"" help:"Run a stand-in for a back end."`

	Replay replayCommand `cmd:"" help:"Play recorded traces through the decision code."`

	Soak soakCommand `cmd:"" help:"Run real processes under faults and check the promises."`
}

// Run runs the command line and returns the exit status.
func Run(arguments []string) int {
	var grammar commandLine
	exited := false
	parser, err := kong.New(&grammar, kong.Name("loomcleat-lab"), kong.UsageOnError(),
		kong.Description("Stand-ins and measurements for loomcleat. Not needed in production."),
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

// serve listens, says so and serves until the program is told to stop.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "listening on %s\n", listener.Addr())
	ctx, cancel := untilStopped()
	defer cancel()
	return backend.Serve(ctx, listener, handler)
}

type backendCommand struct {
	Listen   string `help:"Address, IP:port." required:""`
	Service  string `help:"Service in the call graph." required:""`
	Graph    string `help:"Call graph (YAML)." required:"" type:"existingfile"`
	Outbound string `help:"Outbound address of its node, for calls." default:""`
	Record   bool   `help:"Keep a record of all runs, shown on /_stub/runs." default:"true" negatable:""`
}

// Run runs a stand-in back end.
func (c *backendCommand) Run() error {
	graph, err := backend.LoadGraph(c.Graph)
	if err != nil {
		return err
	}
	service, exists := graph.Services[c.Service]
	if !exists {
		return errors.New("the call graph has no service " + c.Service)
	}
	stub, err := backend.New(service, c.Outbound, c.Record)
	if err != nil {
		return err
	}
	return serve(c.Listen, stub)
}
