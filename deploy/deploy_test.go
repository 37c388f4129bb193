// Package deploy holds the deploy file of the users' platform and the template of the
// settings that the platform fills in.
package deploy

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
)

// TestDeployFilesStay: the platform reads both, and its operators copy them.
func TestDeployFilesStay(t *testing.T) {
	for _, file := range []string{"system.toml", "node.yaml"} {
		is := is.New(t)
		content, err := os.ReadFile(file)
		is.NoErr(err)
		golden.Text(t, file, content)
	}
}
