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

// Source is the source of the settings of a process.
type Source struct {
	// File is the settings file, empty for none.
	File string
	// Load reads and checks the settings.
	Load func() (settings.Settings, error)
}

// filePollInterval is the time between two polls of the settings file, which may change
// without a signal.
const filePollInterval = 2 * time.Second

// reloader reloads the settings on SIGHUP and when their file has changed. Invalid
// settings are logged and not applied; the process keeps running with the current ones.
type reloader struct {
	source  Source
	current settings.Settings
	stamp   fileStamp
	log     *event.Logger
	apply   func(settings.Settings)
}

// newReloader returns a reloader for a process and the settings with which it was opened.
func newReloader(source Source, opened settings.Settings, process *kernel.Process, log *event.Logger) *reloader {
	r := &reloader{source: source, current: opened, log: log}
	r.apply = func(loaded settings.Settings) {
		log.SetLevel(loaded.Log.Level)
		process.SetSeeds(loaded.Seeds)
	}
	r.stamp = r.currentStamp()
	return r
}

// fileStamp identifies a version of the settings file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// currentStamp returns the stamp of the settings file as it is now, or the last one if the
// file cannot be read.
func (r *reloader) currentStamp() fileStamp {
	if r.source.File == "" {
		return fileStamp{}
	}
	info, err := os.Stat(r.source.File)
	if err != nil {
		return r.stamp // the file may be about to be replaced
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

// run reloads the settings on SIGHUP and on changes of the file until ctx ends. Handling
// SIGHUP also keeps it from ending the process, which is the default.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			r.reload()
		case <-ticker.C:
			if r.currentStamp() != r.stamp {
				r.reload()
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings and applies those that can change without a restart.
func (r *reloader) reload() {
	r.stamp = r.currentStamp()
	loaded, err := r.source.Load()
	if err != nil {
		r.log.Emit(event.ReloadFailed, "file", r.source.File, "code", int(result.From(err).Code), "error", err)
		return
	}
	changed, afterRestart := settings.Compare(r.current, loaded)
	r.apply(loaded)
	r.current = loaded
	r.log.Emit(event.SettingsReloaded, "file", r.source.File, "changed", changed, "after_restart", afterRestart)
}
