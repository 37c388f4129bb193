package result

import (
	"testing"

	"github.com/matryer/is"
)

// TestConclusionsMatchTable guards against a Conclusion that allows another attempt of a
// request that may have run, or that contradicts NotRun in another way.
func TestConclusionsMatchTable(t *testing.T) {
	is := is.New(t)
	for code, conclusion := range conclusions {
		is.True(code.Known())
		notRun := code.Definition().NotRun
		switch conclusion.Next {
		case OtherNode, FasterNode:
			is.True(notRun)
		case MayHaveRun:
			is.True(!notRun)
		}
		if conclusion.Unavailable || conclusion.RefusedByBackEnd {
			is.True(notRun)
		}
		if conclusion.BackEndFault {
			is.True(!notRun)
		}
		is.True(conclusion != Conclusion{}) // zero values are omitted from conclusions
	}
}
