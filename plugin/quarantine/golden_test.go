package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// TestTheKeyInTheStore: what lies under it is written as wire.Crashes, whose JSON package
// wire compares with its files.
func TestTheKeyInTheStore(t *testing.T) {
	is := is.New(t)
	is.Equal(storeKey, "quarantine")
}
