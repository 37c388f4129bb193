package result

import (
	"testing"

	"github.com/matryer/is"
)

// TestConclusionsAgreeWithTheTable: what did not run cannot be unclear, and what may
// have run was neither absent nor is it free for another node.
func TestConclusionsAgreeWithTheTable(t *testing.T) {
	is := is.New(t)
	for code, conclusion := range conclusions {
		is.True(code.Known())
		notRun := code.Definition().NotRun
		switch conclusion.Next {
		case OtherNode, FasterNode:
			is.True(notRun)
		case Unclear:
			is.True(!notRun)
		}
		if conclusion.Absent || conclusion.ByBackEnd {
			is.True(notRun)
		}
		if conclusion.BackEndFault {
			is.True(!notRun)
		}
		is.True(conclusion != Conclusion{}) // codes without a conclusion are left out
	}
}
