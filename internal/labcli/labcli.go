// Package labcli is the command line of loomcleat-lab: stand-ins, load, replay
// of traces, experiments and measurements. None of it is needed in production.
package labcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/loomcleat/loomcleat/internal/lab"
	"github.com/loomcleat/loomcleat/internal/standin/backend"
	"github.com/loomcleat/loomcleat/internal/standin/consul"
)

// commandLine is the grammar of the command line.
type commandLine struct {
	Profile string `help:"Write a processor profile to this file." type:"path"`

	Store   storeCommand   `cmd:"" help:"Run the stand-in for the key-value service and the machine list."`
	Backend backendCommand `cmd:"" help:"Run a stand-in for a back end."`
	Load    loadCommand    `cmd:"" help:"Send a bounded load to a gateway and print a summary."`

	Replay replayCommand `cmd:"" help:"Play recorded traces through the decision code."`

	Gossip gossipCommand `cmd:"" help:"Measure failure detection in virtual time."`

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

type storeCommand struct {
	Listen string `help:"Address, IP:port." default:"127.0.0.1:8500"`
}

// Run runs the stand-in of the platform.
func (c *storeCommand) Run() error {
	return serve(c.Listen, consul.NewServer().Handler())
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

type loadCommand struct {
	Target      string        `help:"Base URL of a gateway." required:""`
	Service     string        `help:"Service to call." required:""`
	Method      string        `help:"Method." default:"GET"`
	Path        string        `help:"Path." default:"/"`
	Concurrency int           `help:"Callers at once." default:"16"`
	Duration    time.Duration `help:"How long." default:"5s"`
	Requests    int           `help:"Stop after this many; 0: by duration only." default:"0"`
}

// Run sends load.
func (c *loadCommand) Run() error {
	ctx, cancel := untilStopped()
	defer cancel()
	summary := lab.RunLoad(ctx, lab.LoadConfig{
		Target:      c.Target,
		Requests:    []lab.LoadRequest{{Service: c.Service, Method: c.Method, Path: c.Path}},
		Concurrency: c.Concurrency,
		Duration:    c.Duration,
		MaxRequests: c.Requests,
	})
	return json.NewEncoder(os.Stdout).Encode(summary)
}
