// Command loomcleat runs the processes of a mesh, edits its policy tree and shows its
// state.
package main

import (
	"os"

	"github.com/loomcleat/loomcleat/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
