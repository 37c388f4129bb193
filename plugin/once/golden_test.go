package once

import (
	"testing"

	"github.com/matryer/is"
)

// TestLeaseName guards the lease name that processes of different versions share.
func TestLeaseName(t *testing.T) {
	is := is.New(t)
	is.Equal(planLeaseName, "loomcleat/claim-planner")
}
