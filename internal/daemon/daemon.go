// Package daemon runs a loomcleat process under a kratos application.
//
// It owns which adapter the settings ask for (the store of the users' platform, or one that
// speaks Consul's HTTP API), signals, the orderly stop, and reading the settings anew while
// the process runs. It relies on package kernel for the process itself, and imports all
// plug-ins.
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

	_ "github.com/loomcleat/loomcleat/plugin/all" // the whole chain
)

// stopMargin is added to the announce and drain times before the application
// gives up on an orderly stop. The process ends well before; this is for one that hangs.
const stopMargin = 10 * time.Second

// Open makes a Process with the adapters that its settings name.
func Open(s settings.Settings, log *event.Logger) (*kernel.Process, error) {
	return open(kernel.Options{Settings: s, Log: log})
}

// OpenWithDial makes a Process that reaches others through dial.
func OpenWithDial(s settings.Settings, log *event.Logger, dial kernel.DialFunc) (*kernel.Process, error) {
	return open(kernel.Options{Settings: s, Log: log, Dial: dial})
}

func open(options kernel.Options) (*kernel.Process, error) {
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

// usePlatform connects a process to the users' platform.
func usePlatform(options *kernel.Options) {
	client := platform.NewClient(platform.Config{Address: options.Settings.Store})
	options.Store = client
	options.Machines = client
	options.Registry = client
	options.Dialect = platform.Dialect()
	options.Endpoints = platform.Endpoints(options.Settings)
}

// NewLogger returns the logger that the settings ask for.
func NewLogger(s settings.Settings, output io.Writer) *event.Logger {
	return event.NewLogger(event.Options{
		Output: output,
		Level:  s.Log.Level,
		JSON:   s.Log.Format == "json",
		Name:   "loomcleat",
	})
}

// Bounds of the log of a process. Estimates.
const (
	// logQueue is the number of lines that may wait for a reader. Further ones are dropped.
	logQueue = 1024
	// flushTime is how long an ending process waits for the reader.
	flushTime = 200 * time.Millisecond
)

// Run runs a process until it is told to stop by SIGTERM or SIGINT. Its settings
// are those of the source, which is read again on SIGHUP and when its file
// changes.
func Run(source Source) error {
	s, err := source.Load()
	if err != nil {
		return err
	}
	output := event.NewQueueWriter(os.Stdout, logQueue)
	defer output.Flush(flushTime)
	log := NewLogger(s, output)
	UseLibraryLog(log)
	process, err := Open(s, log)
	if err != nil {
		log.Emit(event.StartFailed, "code", int(result.From(err).Code), "error", err)
		return err
	}
	go newReloader(source, s, process, log).run(process.Context())
	announce, drain := s.StopTimes()
	return RunServers(announce+drain+stopMargin, process)
}

// RunServers runs servers in one application until SIGTERM or SIGINT.
func RunServers(patience time.Duration, list ...transport.Server) error {
	app := kratos.New(
		kratos.Name("loomcleat"),
		kratos.Server(list...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(patience),
	)
	return app.Run()
}

// libraryLog passes messages of kratos on as numbered events.
type libraryLog struct {
	log *event.Logger
}

// Log implements the Logger of kratos.
func (l libraryLog) Log(level kratoslog.Level, pairs ...any) error {
	if level >= kratoslog.LevelWarn {
		l.log.Emit(event.LibraryMessage, append([]any{"library_level", level.String()}, pairs...)...)
	}
	return nil
}

// UseLibraryLog makes kratos log through log. It is global to the program.
func UseLibraryLog(log *event.Logger) {
	kratoslog.SetLogger(libraryLog{log: log})
}
