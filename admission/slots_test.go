package admission

import (
	"testing"

	"github.com/matryer/is"
)

// TestAFewSlotsAreAllUsed: only a back end with seventeen or more spares one.
func TestAFewSlotsAreAllUsed(t *testing.T) {
	is := is.New(t)
	for slots, usable := range map[int]int{0: 0, 1: 1, 10: 10, 16: 16, 17: 16, 20: 19, 50: 47} {
		is.Equal(UsableSlots(slots), usable)
	}
}
