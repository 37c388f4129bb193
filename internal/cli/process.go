package cli

import (
	"fmt"

	"github.com/loomcleat/loomcleat/internal/daemon"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
)

// processFlags are the flags of node and gateway. A flag overrides the settings file.
type processFlags struct {
	Config      string   `help:"Settings file (YAML). Every key is described in settings/settings.go." type:"path"`
	Check       bool     `help:"Check the settings and end."`
	ID          string   `help:"Name of this process; a random part is added at each start."`
	Region      string   `help:"Region of this process."`
	Zone        string   `help:"Failure zone of this process."`
	Listen      string   `help:"Traffic address, IP:port."`
	Control     string   `help:"Address for messages between processes, IP:port."`
	Admin       string   `help:"Address for metrics and probes, IP:port."`
	Seeds       []string `help:"Control addresses of other processes."`
	Store       string   `help:"Base URL of the key-value service."`
	MachineList string   `help:"Base URL of the machine list."`
	LogLevel    string   `help:"trace, debug, info, warn or error."`
	LogFormat   string   `help:"text or json."`
}

// apply overrides the settings with the flags that are set.
func (f *processFlags) apply(s *settings.Settings) {
	override(&s.ID, f.ID)
	override(&s.Region, f.Region)
	override(&s.Zone, f.Zone)
	override(&s.Listen, f.Listen)
	override(&s.Control, f.Control)
	override(&s.Admin, f.Admin)
	override(&s.Store, f.Store)
	override(&s.MachineList, f.MachineList)
	override(&s.Log.Level, f.LogLevel)
	override(&s.Log.Format, f.LogFormat)
	if len(f.Seeds) > 0 {
		s.Seeds = f.Seeds
	}
}

func override(field *string, flag string) {
	if flag != "" {
		*field = flag
	}
}

// run runs a process, or only checks its settings with --check.
func (f *processFlags) run(output *streams, role settings.Role, adjust func(*settings.Settings)) error {
	load := func() (settings.Settings, error) { return f.load(role, adjust) }
	if f.Check {
		if _, err := load(); err != nil {
			return err
		}
		fmt.Fprintln(output.out, "the settings are valid")
		return nil
	}
	if err := daemon.Run(daemon.Source{File: f.Config, Load: load}); err != nil {
		return result.From(err)
	}
	return nil
}

// load reads the settings, applies the flags and checks the result.
func (f *processFlags) load(role settings.Role, adjust func(*settings.Settings)) (settings.Settings, error) {
	loaded, lines, err := settings.Load(role, f.Config)
	if err != nil {
		return loaded, err
	}
	f.apply(&loaded)
	adjust(&loaded)
	return loaded, loaded.Check(lines)
}

type nodeCommand struct {
	processFlags
	Service  string `help:"Service of the back end."`
	Backend  string `help:"Address of the back end, IP:port."`
	Outbound string `help:"Address for the calls that the back end makes, IP:port."`
}

func (c *nodeCommand) Run(output *streams) error {
	return c.run(output, settings.RoleNode, func(s *settings.Settings) {
		override(&s.Service, c.Service)
		override(&s.Backend, c.Backend)
		override(&s.Outbound, c.Outbound)
	})
}

type gatewayCommand struct {
	processFlags
}

func (c *gatewayCommand) Run(output *streams) error {
	return c.run(output, settings.RoleGateway, func(*settings.Settings) {})
}
