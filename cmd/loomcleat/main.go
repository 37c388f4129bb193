// Command loomcleat runs the processes of a mesh and edits its policy tree.
package main

import (
	"os"

	"github.com/loomcleat/loomcleat/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:]))
}
