package settings

import (
	"testing"

	"github.com/matryer/is"
)

func TestCompare(t *testing.T) {
	is := is.New(t)
	before := Default(RoleNode)
	after := before
	after.Log.Level = "debug"
	after.Seeds = []string{"127.0.0.1:1"}
	after.Zone = "z2"
	after.RetryBudget.Slack = 7
	changed, needRestart := Compare(before, after)
	is.Equal(changed, []string{"seeds", "log"})
	is.Equal(needRestart, []string{"zone", "retry_budget"})
	changed, needRestart = Compare(before, before)
	is.Equal(len(changed)+len(needRestart), 0)
}
