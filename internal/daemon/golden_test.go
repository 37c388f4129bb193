package daemon

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/loomcleat/loomcleat/event"
	"github.com/loomcleat/loomcleat/internal/golden"
	"github.com/loomcleat/loomcleat/settings"
)

// TestMetricNames guards against changes to metric names and labels that dashboards and
// alerts use.
func TestMetricNames(t *testing.T) {
	is := is.New(t)
	s := settings.Default(settings.RoleNode)
	s.Service, s.Backend = "booking", "127.0.0.1:1"
	s.Listen, s.Control = "127.0.0.1:0", "127.0.0.1:0"
	process, err := Open(s, event.Discard())
	is.NoErr(err)
	defer process.Kill()
	golden.Text(t, "metrics.txt", []byte(strings.Join(descriptionsOf(process.Metrics), "\n")+"\n"))
}

// helpText matches help texts, which may change.
var helpText = regexp.MustCompile(`help: ".*", `)

// descriptionsOf lists the descriptions of registered metrics without their help texts.
func descriptionsOf(registry *prometheus.Registry) []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	lines := []string{}
	for description := range descriptions {
		lines = append(lines, helpText.ReplaceAllString(description.String(), ""))
	}
	slices.Sort(lines)
	return lines
}
