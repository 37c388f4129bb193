package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/internal/daemon"
	"github.com/loomcleat/loomcleat/internal/lab"
	"github.com/loomcleat/loomcleat/membership"
)

type capacityCommand struct {
	Sizes      []int         `help:"Numbers of processes." default:"16,64,128,256"`
	Regions    int           `help:"Regions." default:"2"`
	Zones      int           `help:"Zones in all." default:"8"`
	Services   int           `help:"Services." default:"16"`
	Interval   time.Duration `help:"Probe interval." default:"1s"`
	Quiet      time.Duration `help:"Time of the measurement at rest." default:"10s"`
	Churn      time.Duration `help:"Time of the measurement under churn; 0: none." default:"10s"`
	ChurnEvery time.Duration `help:"Time between two replacements under churn. The letter's rate of about 100 a day is one in 864 s." default:"1s"`
	Edits      int           `help:"Edits to time." default:"5"`
	Deaths     int           `help:"Crashes to time." default:"2"`
	Entries    int           `help:"Entries of the policy tree." default:"200"`
	StartPause time.Duration `help:"Time between two starts." default:"30ms"`
	Timeout    time.Duration `help:"Bound on each size." default:"3m"`
	JSON       bool          `help:"One JSON object a size."`
}

// Run measures each size.
func (c *capacityCommand) Run() error {
	daemon.UseLibraryLog(event.Discard())
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(table, "processes\tstart s\tsent B/s\treceived B/s\tmessages/s\tCPU %\tchurn sent B/s\tchurn CPU %\tGo KB\tresident KB\tedit s\tworst s\tdeath s\tstore req/s\tfalse")
	}
	for _, size := range c.Sizes {
		ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
		figures, err := lab.MeasureHollow(ctx, lab.HollowConfig{
			Processes: size, Regions: c.Regions, Zones: c.Zones, Services: c.Services, Interval: c.Interval,
			Quiet: c.Quiet, Churn: c.Churn, ChurnEvery: c.ChurnEvery, Edits: c.Edits, Deaths: c.Deaths, Entries: c.Entries, StartPause: c.StartPause,
		})
		cancel()
		if err != nil {
			return fmt.Errorf("%d processes: %w", size, err)
		}
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(figures); err != nil {
				return err
			}
			continue
		}
		f := figures
		fmt.Fprintf(table, "%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.3f\t%.0f\t%.3f\t%.0f\t%.0f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\n", f.Processes, f.StartSeconds,
			f.Rest.SentBytes, f.Rest.ReceivedBytes, f.Rest.Messages, f.Rest.CPUShare, f.Churn.SentBytes, f.Churn.CPUShare,
			f.MemoryKB, f.ResidentKB, f.EditMedian, f.EditWorst, f.DeathMedian, f.StoreRate, f.FalseRemoved)
	}
	return table.Flush()
}

type gossipCommand struct {
	Sizes  []int         `help:"Numbers of members." default:"16,64,256"`
	Seed   uint64        `help:"Seed; the same seed gives the same figures." default:"1"`
	Loss   float64       `help:"Share of messages lost." default:"0"`
	Slow   float64       `help:"Share of members that miss half of their probes." default:"0"`
	Trials int           `help:"Crashes and leaves to time." default:"5"`
	Quiet  time.Duration `help:"Virtual time in which false removals are counted." default:"10m"`
}

// Run measures the arms: as it is, and without the idea that was taken
// from Lifeguard.
func (c *gossipCommand) Run() error {
	arms := []struct {
		name   string
		adjust func(*membership.Config)
	}{
		{"as shipped", nil},
		{"no suspect notice", func(config *membership.Config) { config.NoSuspectNotice = true }},
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "members\tarm\tdetect s\tknown everywhere s\tleave s\tfalse removals\tmessages/member s\tblamed by woken\trejoin s")
	for _, size := range c.Sizes {
		for _, arm := range arms {
			config := lab.GossipConfig{Members: size, Seed: c.Seed, Interval: time.Second, Loss: c.Loss, Slow: c.Slow, Adjust: arm.adjust}
			f := lab.MeasureGossip(config, c.Trials, c.Quiet)
			freeze := lab.MeasureFreeze(config, c.Trials, 10*time.Second, 2*time.Minute)
			fmt.Fprintf(table, "%d\t%s\t%.2f\t%.2f\t%.2f\t%d\t%.2f\t%d\t%.1f\n", f.Members, arm.name,
				f.DetectSeconds, f.SpreadSeconds, f.LeaveSeconds, f.False, f.Messages, freeze.Blamed, freeze.RejoinSeconds)
		}
	}
	return table.Flush()
}
