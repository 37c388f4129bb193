package labcli

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
)

// TestCommandsAndFlags: those that CI and the pages call.
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
