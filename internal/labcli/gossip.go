package labcli

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/loomcleat/loomcleat/internal/lab"
	"github.com/loomcleat/loomcleat/membership"
)

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
