package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/kernel"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/settings"
)

// Source is where the settings of a process come from.
type Source struct {
	// File is the settings file, empty for none.
	File string
	// Load reads and checks the settings.
	Load func() (settings.Settings, error)
}

// fileInterval is the time between two looks at the settings file, which may
// change without a signal.
const fileInterval = 2 * time.Second

// reloader reads the settings again when it is told to or when their file has
// changed. What is wrong with them never ends the process.
type reloader struct {
	source  Source
	current settings.Settings
	stamp   fileStamp
	log     *event.Logger
	apply   func(settings.Settings)
}

// newReloader returns a reloader of a process that was opened with the settings.
func newReloader(source Source, opened settings.Settings, process *kernel.Process, log *event.Logger) *reloader {
	r := &reloader{source: source, current: opened, log: log}
	r.apply = func(loaded settings.Settings) {
		log.SetLevel(loaded.Log.Level)
		process.Reload(loaded.Seeds)
	}
	r.stamp = r.look()
	return r
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func (r *reloader) look() fileStamp {
	if r.source.File == "" {
		return fileStamp{}
	}
	info, err := os.Stat(r.source.File)
	if err != nil {
		return r.stamp // it may be on its way to its place
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

// run reloads until ctx ends. SIGHUP would end a process that does not ask for it.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(fileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			r.reload()
		case <-ticker.C:
			if r.look() != r.stamp {
				r.reload()
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings and puts in force what can be without a restart.
func (r *reloader) reload() {
	r.stamp = r.look()
	loaded, err := r.source.Load()
	if err != nil {
		r.log.Emit(event.ReloadFailed, "file", r.source.File, "code", int(result.From(err).Code), "error", err)
		return
	}
	changed, waiting := settings.Compare(r.current, loaded)
	r.apply(loaded)
	r.current = loaded
	r.log.Emit(event.SettingsReloaded, "file", r.source.File, "changed", changed, "after_restart", waiting)
}
