// Package deploy holds the deploy file for the platform and the settings template that the
// platform fills in.
package deploy

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
)

// TestDeployFilesUnchanged guards against accidental changes to the deploy files, which the
// platform reads and operators copy.
func TestDeployFilesUnchanged(t *testing.T) {
	for _, file := range []string{"system.toml", "node.yaml"} {
		is := is.New(t)
		content, err := os.ReadFile(file)
		is.NoErr(err)
		golden.Text(t, file, content)
	}
}
