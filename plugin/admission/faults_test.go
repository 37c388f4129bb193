package admission

import (
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/result"
)

// TestIsFault guards against blaming the back end for errors other than a lost or wrong answer.
func TestIsFault(t *testing.T) {
	is := is.New(t)
	faults := map[result.Code]bool{result.ConnectionLost: true, result.CrashSuspected: true, result.AnswerMismatch: true, result.AnswerInvalid: true}
	for _, definition := range result.Table {
		is.Equal(isFault(result.New(definition.Code, "test")), faults[definition.Code])
	}
}
