// Command loomcleat-lab runs stand-ins, load and measurements for loomcleat.
package main

import (
	"os"

	"github.com/loomcleat/loomcleat/internal/labcli"
)

func main() {
	os.Exit(labcli.Run(os.Args[1:]))
}
