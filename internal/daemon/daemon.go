// Package daemon runs a loomcleat process under a kratos application.
//
// It selects the adapters that the settings name (the store of the users' platform, or one
// with Consul's HTTP API), handles signals and the graceful stop, and reloads the settings
// while the process runs. It relies on package kernel for the process itself, and imports
// all plug-ins.
package daemon

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/platform"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
	"github.com/loomcleat/loomcleat/store/consulkv"

	_ "github.com/loomcleat/loomcleat/plugin/all" // registers all plug-ins
)

// stopMargin is added to the times of a graceful stop to get the stop timeout of the
// application. Only a process that hangs reaches it.
const stopMargin = 10 * time.Second

// Open creates a Process with the adapters that its settings name.
func Open(s settings.Settings, log *event.Logger) (*kernel.Process, error) {
	return OpenWith(kernel.Options{Settings: s, Log: log})
}

// OpenWith creates a Process with the adapters that its settings name and the other options, such as
// the network to use.
func OpenWith(options kernel.Options) (*kernel.Process, error) {
	s := options.Settings
	if s.StoreAPI == settings.StorePlatform {
		usePlatform(&options)
		return kernel.New(options)
	}
	if s.Store != "" {
		options.Store = consulkv.NewClient(consulkv.Config{BaseURL: s.Store})
	}
	if s.MachineList != "" {
		options.Machines = consulkv.NewClient(consulkv.Config{BaseURL: s.MachineList})
	}
	return kernel.New(options)
}

// usePlatform sets the adapters for the users' platform.
func usePlatform(options *kernel.Options) {
	client := platform.NewClient(platform.Config{Address: options.Settings.Store, Dial: options.Dial})
	options.Store = client
	options.Machines = client
	options.Registry = client
	options.Dialect = platform.Dialect()
	options.Endpoints = platform.Endpoints(options.Settings)
}

// NewLogger returns a logger with the level and format of the settings.
func NewLogger(s settings.Settings, output io.Writer) *event.Logger {
	return event.NewLogger(event.Options{
		Output: output,
		Level:  s.Log.Level,
		JSON:   s.Log.Format == "json",
		Name:   "loomcleat",
	})
}

// Bounds of the log of a process.
const (
	// logQueueLength is the number of lines queued while standard output is blocked. Further
	// lines are dropped.
	logQueueLength = 1024
	// flushTimeout bounds the time for which a stopping process waits to write queued lines.
	flushTimeout = 200 * time.Millisecond
)

// Run runs a process until it receives SIGTERM or SIGINT. It loads the settings from
// source, and reloads them on SIGHUP and when the settings file changes.
func Run(source Source) error {
	s, err := source.Load()
	if err != nil {
		return err
	}
	output := event.NewQueueWriter(os.Stdout, logQueueLength)
	defer output.Flush(flushTimeout)
	log := NewLogger(s, output)
	UseLibraryLog(log)
	process, err := Open(s, log)
	if err != nil {
		log.Emit(event.StartFailed, "code", int(result.From(err).Code), "error", err)
		return err
	}
	go newReloader(source, s, process, log).run(process.Context())
	return RunServers(s.StopTimes().Whole()+stopMargin, process)
}

// RunServers runs servers in one application until it receives SIGTERM or SIGINT. The
// servers then have stopTimeout to stop.
func RunServers(stopTimeout time.Duration, list ...transport.Server) error {
	app := kratos.New(
		kratos.Name("loomcleat"),
		kratos.Server(list...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(stopTimeout),
	)
	return app.Run()
}

// libraryLog logs warnings and errors of kratos as numbered events.
type libraryLog struct {
	log *event.Logger
}

func (l libraryLog) Log(level kratoslog.Level, pairs ...any) error {
	if level >= kratoslog.LevelWarn {
		l.log.Emit(event.LibraryMessage, append([]any{"library_level", level.String()}, pairs...)...)
	}
	return nil
}

// UseLibraryLog makes kratos log to log, in the whole program.
func UseLibraryLog(log *event.Logger) {
	kratoslog.SetLogger(libraryLog{log: log})
}
