package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/internal/daemon"
	"github.com/loomcleat/loomcleat/internal/lab"
)

type demoCommand struct {
	Duration    time.Duration `help:"Send load for this long, print a summary and end. 0: run until stopped." default:"0s"`
	Concurrency int           `help:"Callers at once while sending load." default:"16"`
	JSON        bool          `help:"Print the summary as one JSON object."`
	Verbose     bool          `help:"Log the events of all processes."`
}

// startTimeout bounds the start of the demo's mesh.
const startTimeout = 20 * time.Second

func (c *demoCommand) Run(output *streams) error {
	log := event.Discard()
	if c.Verbose {
		log = event.NewLogger(event.Options{Output: output.err, Level: "info", Name: "demo"})
	}
	daemon.UseLibraryLog(log)
	starting, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	mesh, err := lab.StartMesh(starting, lab.MeshConfig{
		Graph: lab.DemoGraph(), Policy: lab.DemoPolicy(), Backends: 2, Gateways: 1, Log: log,
	})
	if err != nil {
		return err
	}
	defer mesh.Close()
	if !c.JSON {
		c.introduce(output, mesh)
	}
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	if c.Duration == 0 {
		<-stop.Done()
		return nil
	}
	return c.load(stop, output, mesh)
}

// introduce prints example commands for the running mesh.
func (c *demoCommand) introduce(output *streams, mesh *lab.Mesh) {
	gateway := mesh.Gateways[0]
	program := os.Args[0]
	fmt.Fprintf(output.out, `A mesh of 2 services with 2 back ends each, and a gateway, is running. Try:

  curl -i -H 'Host: booking' http://%[1]s/sailings
  curl -i -X POST -H 'Host: booking' -H 'Idempotency-Key: one' http://%[1]s/bookings
  (the same again: the answer is repeated, nothing is charged twice)
  curl http://%[2]s/metrics
  %[4]s status %[3]s
  %[4]s config get --store %[5]s
  %[4]s config set --store %[5]s --node %[3]s ferries/sales/booking deadline=1s

`, gateway.TrafficAddress(), gateway.AdminAddress(), gateway.ControlAddress(), program, mesh.PlatformURL)
}

func (c *demoCommand) load(ctx context.Context, output *streams, mesh *lab.Mesh) error {
	summary := lab.RunLoad(ctx, lab.LoadConfig{
		Target:      "http://" + mesh.Gateways[0].TrafficAddress(),
		Requests:    lab.DemoLoad(),
		Concurrency: c.Concurrency,
		Duration:    c.Duration,
	})
	for _, process := range mesh.Processes() {
		summary.Retries += process.Counters.Retries.Load()
	}
	if c.JSON {
		return json.NewEncoder(output.out).Encode(summary)
	}
	fmt.Fprintln(output.out, summary.Text())
	return nil
}
