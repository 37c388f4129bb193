package daemon

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/settings"
)

func TestReload(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "node.yaml")
	is.NoErr(os.WriteFile(file, []byte("zone: z1\n"), 0o600))
	var output bytes.Buffer
	next, failure := settings.Default(settings.RoleNode), error(nil)
	applied := settings.Settings{}
	r := &reloader{
		source:  Source{File: file, Load: func() (settings.Settings, error) { return next, failure }},
		current: next,
		log:     event.NewLogger(event.Options{Output: &output, Level: "info", JSON: true}),
		apply:   func(s settings.Settings) { applied = s },
	}
	r.stamp = r.currentStamp()
	is.Equal(r.currentStamp(), r.stamp)
	is.NoErr(os.WriteFile(file, []byte("zone: z1\nseeds: [127.0.0.1:7]\n"), 0o600))
	is.True(r.currentStamp() != r.stamp) // the change is detected without a signal

	failure = errors.New("bad")
	r.reload()
	is.Equal(applied.Role, settings.Role("")) // nothing was applied
	is.True(strings.Contains(output.String(), "reload-failed"))

	failure = nil
	next.Seeds = []string{"127.0.0.1:7"}
	r.reload()
	is.Equal(applied.Seeds, next.Seeds)
	is.True(strings.Contains(output.String(), `"changed":["seeds"]`))
	is.NoErr(os.Remove(file))
	is.Equal(r.currentStamp(), r.stamp) // a missing file is not a change
}
