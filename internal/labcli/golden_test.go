package labcli

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
)

// TestCommandsAndFlags guards against changes to commands and flags that CI and the
// documentation use.
func TestCommandsAndFlags(t *testing.T) {
	is := is.New(t)
	parser, err := kong.New(&commandLine{}, kong.Name("loomcleat-lab"))
	is.NoErr(err)
	list := &strings.Builder{}
	for _, command := range parser.Model.Node.Children {
		if command.Name == "soak" || command.Name == "replay" {
			list.WriteString(golden.Commands(command))
		}
	}
	golden.Text(t, "commands.txt", []byte(list.String()))
}
