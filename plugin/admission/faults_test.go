package admission

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
)

// TestFaultsOfTheBackEnd: lost and wrong answers are faults of the back end, and
// nothing else is.
func TestFaultsOfTheBackEnd(t *testing.T) {
	is := is.New(t)
	faults := map[result.Code]bool{result.ConnectionLost: true, result.CrashSuspected: true, result.AnswerMismatch: true}
	for _, definition := range result.Table {
		is.Equal(isFault(result.New(definition.Code, "test")), faults[definition.Code])
	}
}
