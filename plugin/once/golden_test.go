package once

import (
	"testing"

	"github.com/matryer/is"
)

func TestTheLeaseInTheStore(t *testing.T) {
	is := is.New(t)
	is.Equal(planLeaseName, "loomcleat/claim-planner")
}
