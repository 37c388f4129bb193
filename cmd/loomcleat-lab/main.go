// Command loomcleat-lab plays recorded traces and soaks real processes under faults.
package main

import (
	"os"

	"github.com/loomcleat/loomcleat/internal/labcli"
)

func main() {
	os.Exit(labcli.Run(os.Args[1:]))
}
