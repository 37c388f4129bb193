// Command loomcleat-lab replays recorded traces and runs soak tests with real processes
// under faults.
package main

import (
	"os"

	"github.com/loomcleat/loomcleat/internal/labcli"
)

func main() {
	os.Exit(labcli.Run(os.Args[1:]))
}
