package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/internal/soak"
	"github.com/loomcleat/loomcleat/result"
)

type soakCommand struct {
	Program string        `help:"The program to be tested." required:"" type:"existingfile"`
	Folder  string        `help:"Where settings and logs are put. Default: a new folder, which is kept when a promise is broken." type:"path"`
	For     time.Duration `help:"How long faults strike, for each seed." default:"1m"`
	Seed    uint64        `help:"Seed of the first soak; the same seed draws the same faults." default:"1"`
	Seeds   uint64        `help:"Number of soaks, one seed after the other." default:"1"`
	Nodes   int           `help:"Number of processes, 6 to 48." default:"9"`
	Faults  []string      `help:"Names of the faults that strike, separated by commas; list prints all. Default: all."`
	JSON    bool          `help:"Print a report of each soak as JSON."`
	Verbose bool          `help:"Tell each fault on standard error." short:"v"`
}

// Run runs a soak for each seed. It fails if a soak found a violated invariant.
func (c *soakCommand) Run() error {
	if slices.Equal(c.Faults, []string{"list"}) {
		fmt.Println(strings.Join(soak.FaultNames(), "\n"))
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	broken := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds && ctx.Err() == nil; seed++ {
		folder, err := c.folderOf(seed)
		if err != nil {
			return err
		}
		report, err := soak.Run(ctx, soak.Config{Program: c.Program, Folder: folder, Nodes: c.Nodes, Seed: seed, Duration: c.For, Faults: c.Faults, Log: c.log})
		if err != nil {
			return err
		}
		if err := c.print(report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			broken++
			fmt.Fprintf(os.Stderr, "seed %d: settings and logs are in %s\n", seed, folder)
			continue
		}
		if c.Folder == "" {
			_ = os.RemoveAll(folder) // leftover files do no harm
		}
	}
	if broken > 0 {
		return result.New(result.Internal, "%d of %d soaks broke a promise", broken, c.Seeds)
	}
	return nil
}

// folderOf creates and returns the folder of a seed.
func (c *soakCommand) folderOf(seed uint64) (string, error) {
	if c.Folder == "" {
		return os.MkdirTemp("", fmt.Sprintf("loomcleat-soak-%d-", seed))
	}
	folder := fmt.Sprintf("%s/%d", c.Folder, seed)
	return folder, os.MkdirAll(folder, 0o700)
}

func (c *soakCommand) log(format string, arguments ...any) {
	if c.Verbose {
		fmt.Fprintf(os.Stderr, time.Now().Format("15:04:05.000 ")+format+"\n", arguments...)
	}
}

func (c *soakCommand) print(report *soak.Report) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	fmt.Printf("seed %d: %.0f s, served %d of %d lookups and %d of %d payments, back ends lost to each crashing request %v, %d promises broken\n",
		report.Seed, report.Seconds, report.Served["lookup"], report.Sent["lookup"], report.Served["payment"], report.Sent["payment"],
		report.Crashes, len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Printf("  %7.3f s  %s: %s\n", violation.At.Seconds(), violation.Invariant, violation.What)
	}
	return nil
}
